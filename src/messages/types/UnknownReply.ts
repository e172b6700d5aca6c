import type { EndpointReply } from "./EndpointReply.js";
import type { OutcomeKind } from "./OutcomeKind.js";

/** The reply to a request that may or may not have run. */
export type UnknownReply = Extract<EndpointReply, { readonly outcome: OutcomeKind.OutcomeUnknown; }>;
