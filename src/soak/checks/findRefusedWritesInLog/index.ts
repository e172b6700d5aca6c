import type { SoakHistory } from "../../types/SoakHistory.js";
import { UnitOutcome } from "../../types/UnitOutcome.js";

/**
 * Finds writes in the log that were refused, or whose transaction was never committed.
 *
 * @param history The history of a run.
 * @returns Yields a description of each such write.
 *
 * @example
 * const refused = [...findRefusedWritesInLog(history)];
 */
export function* findRefusedWritesInLog({ units, log }: SoakHistory): Generator<string> {
    const loggedIds = new Set(log.flatMap(({ ids }) => ids));
    for (const { outcome, writeIds, session } of units) {
        for (const id of outcome === UnitOutcome.NotKept ? writeIds : []) {
            if (loggedIds.has(id)) {
                yield `write ${id} of session ${session}`;
            }
        }
    }
}
