import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { loadConstants } from "../constants.js";
import type { LoadServices } from "../types/LoadServices.js";
import type { OperationResult } from "../types/OperationResult.js";
import type { SessionState } from "../types/SessionState.js";

/**
 * Looks up the outcome of a write by its request key, at random entries, a limited number of times.
 *
 * @param services Services that the sessions share.
 * @param session The session that wrote.
 * @param requestKey The request key of the write.
 * @returns The outcome; still unknown if no lookup resolved it.
 *
 * @example
 * const resolved = await resolveUnknownOutcome(services, session, "s1-1");
 */
export async function resolveUnknownOutcome(
    services: LoadServices,
    session: SessionState,
    requestKey: string,
): Promise<OperationResult> {
    const { client, clock, random, target } = services;
    for (let attempt = 0; attempt < loadConstants.maximumLookupAttempts; attempt += 1) {
        await clock.sleep(loadConstants.maximumLookupPauseMilliseconds * random.next());
        const entry = target.entries[random.nextInteger(target.entries.length)] ?? session.entry;
        const reply = await client.post(entry, {
            path: `/v1/databases/${session.database}/request-keys/lookup`,
            callerKey: session.caller.key,
            body: { requestKey, deadlineMilliseconds: loadConstants.lookupDeadlineMilliseconds },
            timeoutMilliseconds: loadConstants.lookupDeadlineMilliseconds + loadConstants.answerGraceMilliseconds,
        });
        const isCancelled = reply.outcome === OutcomeKind.NotRun && reply.reason === NotRunReason.Cancelled;
        if (reply.outcome === OutcomeKind.Answer || isCancelled) {
            return reply;
        }
    }
    return { outcome: OutcomeKind.OutcomeUnknown, reason: "LookupFailed" };
}
