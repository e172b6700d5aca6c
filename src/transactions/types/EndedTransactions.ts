import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { TransactionEnd } from "../../messages/types/TransactionEnd.js";
import type { TransactionStatement } from "../../messages/types/TransactionStatement.js";

/** Bounded record of how recent transactions ended. */
export interface EndedTransactions {
    /** Records the end; `reply` is undefined when the transaction was rolled back without a request of the caller. */
    add(transactionId: string, caller: string, reply: EndpointReply | undefined): void;
    /** Returns the reply to a call after the end, or for a transaction that is not known at this gateway. */
    replyTo(call: TransactionEnd | TransactionStatement): EndpointReply;
}
