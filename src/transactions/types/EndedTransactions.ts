import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { TransactionEnd } from "../../messages/types/TransactionEnd.js";
import type { TransactionStatement } from "../../messages/types/TransactionStatement.js";

/** Remembers how the latest transactions ended. */
export interface EndedTransactions {
    /** Notes the end; `reply` is undefined when the transaction was rolled back without the caller asking for it. */
    add(transactionId: string, caller: string, reply: EndpointReply | undefined): void;
    /** The reply to a call that comes after the end, or for a transaction that is not known here. */
    replyTo(call: TransactionEnd | TransactionStatement): EndpointReply;
}
