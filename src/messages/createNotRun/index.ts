import type { NotRunReason } from "../types/NotRunReason.js";
import type { NotRunReply } from "../types/NotRunReply.js";
import { OutcomeKind } from "../types/OutcomeKind.js";

/** Optional details of a reply. */
interface NotRunDetails {
    readonly newerTerm?: number;
    readonly position?: number;
}

/**
 * Creates the reply to a request that did not run and never will.
 *
 * @param reason Why it did not run.
 * @param message Description and remedy.
 * @param details A newer term and the endpoint's position, when known.
 * @returns The reply.
 *
 * @example
 * return createNotRun(NotRunReason.Stopping, "This gateway is stopping. Send the request to another gateway.");
 */
export function createNotRun(reason: NotRunReason, message: string, details: NotRunDetails = {}): NotRunReply {
    return { outcome: OutcomeKind.NotRun, reason, message, ...details };
}
