import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { TransactionEnd } from "../../messages/types/TransactionEnd.js";
import type { TransactionStatement } from "../../messages/types/TransactionStatement.js";

/** What an entry asks of an open transaction, and where the reply goes. */
export interface TransactionCommand {
    readonly call: TransactionEnd | TransactionStatement;
    /** Reading of the monotonic clock by which the reply has to be given. */
    readonly deadlineAt: number;
    readonly reply: (reply: EndpointReply) => void;
}
