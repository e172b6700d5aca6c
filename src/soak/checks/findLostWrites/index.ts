import { soakConstants } from "../../constants.js";
import type { SoakHistory } from "../../types/SoakHistory.js";
import { UnitOutcome } from "../../types/UnitOutcome.js";

/**
 * Finds acknowledged writes that are not in the log.
 *
 * An endpoint acknowledges a commit before its replicas have received it, so a promotion around a fault at an endpoint
 * may discard the commit; no commit may be lost at any other time.
 *
 * @param history The history of a run.
 * @returns Yields a description of each lost write.
 *
 * @example
 * const lost = [...findLostWrites(history)];
 */
export function* findLostWrites(
    { units, log, discardedEntries, endpointFaults }: SoakHistory,
): Generator<string> {
    const loggedIds = new Set(log.flatMap(({ ids }) => ids));
    const discardedIds = new Set(discardedEntries.flatMap(({ ids }) => ids));
    for (const { outcome, writeIds, endedAt, session } of units) {
        const missing = outcome === UnitOutcome.Acknowledged ? writeIds.filter(id => !loggedIds.has(id)) : [];
        const mayBeDiscarded = endpointFaults.some(at =>
            Math.abs(at - endedAt) < soakConstants.lossToleranceMilliseconds
        );
        for (const id of missing) {
            if (!discardedIds.has(id) || !mayBeDiscarded) {
                yield `write ${id} of session ${session}, acknowledged at ${Math.round(endedAt)} ms`;
            }
        }
    }
}
