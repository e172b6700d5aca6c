import type { SoakHistory } from "../../types/SoakHistory.js";

/**
 * Finds writes that are in the log more than once.
 *
 * @param history The history of a run.
 * @returns Yields a description of each repetition.
 *
 * @example
 * const doubled = [...findDoubledWrites(history)];
 */
export function* findDoubledWrites({ log }: SoakHistory): Generator<string> {
    const seen = new Set<string>();
    for (const { ids, position } of log) {
        for (const id of ids) {
            if (seen.has(id)) {
                yield `write ${id}, again at ${position.term}.${position.entry}`;
            }
            seen.add(id);
        }
    }
}
