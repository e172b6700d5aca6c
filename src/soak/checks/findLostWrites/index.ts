import { soakConstants } from "../../constants.js";
import type { SoakHistory } from "../../types/SoakHistory.js";
import { UnitOutcome } from "../../types/UnitOutcome.js";

/**
 * Finds acknowledged writes that are not in the log.
 *
 * The endpoints acknowledge before their replicas have received a commit, so a promotion after a fault at an endpoint
 * may drop it; at any other time nothing may be lost.
 *
 * @param history The history of a run.
 * @returns Yields the writes lost.
 *
 * @example
 * const lost = [...findLostWrites(history)];
 */
export function* findLostWrites({ units, log, dropped, endpointFaults }: SoakHistory): Generator<string> {
    const kept = new Set(log.flatMap(({ ids }) => ids));
    const droppedIds = new Set(dropped.flatMap(({ ids }) => ids));
    for (const { outcome, writeIds, endedAt, session } of units) {
        const missing = outcome === UnitOutcome.Acknowledged ? writeIds.filter(id => !kept.has(id)) : [];
        const mayBeDropped = endpointFaults.some(at => Math.abs(at - endedAt) < soakConstants.lossMilliseconds);
        for (const id of missing) {
            if (!droppedIds.has(id) || !mayBeDropped) {
                yield `write ${id} of session ${session}, acknowledged at ${Math.round(endedAt)} ms`;
            }
        }
    }
}
