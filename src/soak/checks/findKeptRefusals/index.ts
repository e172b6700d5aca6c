import type { SoakHistory } from "../../types/SoakHistory.js";
import { UnitOutcome } from "../../types/UnitOutcome.js";

/**
 * Finds writes in the log whose callers were told that nothing is kept, or that were never committed.
 *
 * @param history The history of a run.
 * @returns Yields the writes.
 *
 * @example
 * const kept = [...findKeptRefusals(history)];
 */
export function* findKeptRefusals({ units, log }: SoakHistory): Generator<string> {
    const kept = new Set(log.flatMap(({ ids }) => ids));
    for (const { outcome, writeIds, session } of units) {
        for (const id of outcome === UnitOutcome.NotKept ? writeIds : []) {
            if (kept.has(id)) {
                yield `write ${id} of session ${session}`;
            }
        }
    }
}
