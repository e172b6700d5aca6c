import type { SoakHistory } from "../../types/SoakHistory.js";

/**
 * Finds writes that stand twice in the log.
 *
 * @param history The history of a run.
 * @returns Yields the writes doubled.
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
