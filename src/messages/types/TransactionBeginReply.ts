import type { EndpointReply } from "./EndpointReply.js";
import type { OutcomeKind } from "./OutcomeKind.js";

/** A gateway's reply to a `TransactionBegin`. */
export type TransactionBeginReply =
    | { readonly outcome: OutcomeKind.Answer; readonly transactionId: string; }
    | Exclude<EndpointReply, { readonly outcome: OutcomeKind.Answer; }>;
