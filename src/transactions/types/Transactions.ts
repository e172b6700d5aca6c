import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { TransactionBegin } from "../../messages/types/TransactionBegin.js";
import type { TransactionBeginReply } from "../../messages/types/TransactionBeginReply.js";
import type { TransactionEnd } from "../../messages/types/TransactionEnd.js";
import type { TransactionStatement } from "../../messages/types/TransactionStatement.js";

/** Runs interactive transactions; each holds one connection and one slot until it ends. */
export interface Transactions {
    /** Opens a transaction. Never fails. */
    begin(begin: TransactionBegin, signal?: AbortSignal): Promise<TransactionBeginReply>;
    /** Runs a statement in an open transaction. Never fails. */
    execute(statement: TransactionStatement): Promise<EndpointReply>;
    /** Ends a transaction; a repeated call gets the first reply again. Never fails. */
    end(end: TransactionEnd): Promise<EndpointReply>;
    describeWork(): readonly string[];
    start(): Promise<void>;
    /** Refuses new transactions and those waiting for a slot; waits for open ones, at most until their deadlines. */
    stop(): Promise<void>;
}
