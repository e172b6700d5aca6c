import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";

type NotRunReply = Extract<EndpointReply, { readonly outcome: OutcomeKind.NotRun; }>;

/**
 * Creates the reply for a request that did not run.
 *
 * @param reason Why.
 * @param message What happened and what the caller can do.
 * @returns The reply.
 *
 * @example
 * return createNotRun(NotRunReason.NoPrimary, "No primary is known. Retry in a moment.");
 */
export function createNotRun(reason: NotRunReason, message: string): NotRunReply {
    return { outcome: OutcomeKind.NotRun, reason, message };
}
