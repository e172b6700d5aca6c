import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { TransactionEnd } from "../../messages/types/TransactionEnd.js";
import type { TransactionStatement } from "../../messages/types/TransactionStatement.js";

/** A call of an entry for an open transaction, and the callback for its reply. */
export interface TransactionCommand {
    readonly call: TransactionEnd | TransactionStatement;
    /** Time of the monotonic clock by which the reply is due. */
    readonly deadlineAt: number;
    readonly reply: (reply: EndpointReply) => void;
}
