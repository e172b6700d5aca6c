import type { EndpointReply } from "../../messages/types/EndpointReply.js";

/** The reply to one command of a transaction, and whether the command ended the transaction. */
export interface TransactionStepResult {
    readonly reply: EndpointReply;
    readonly hasEnded: boolean;
}
