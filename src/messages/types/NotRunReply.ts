import type { EndpointReply } from "./EndpointReply.js";
import type { OutcomeKind } from "./OutcomeKind.js";

/** The reply to a request that did not run and never will. */
export type NotRunReply = Extract<EndpointReply, { readonly outcome: OutcomeKind.NotRun; }>;
