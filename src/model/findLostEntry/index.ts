import type { ModelState } from "../types/ModelState.js";

/**
 * Finds an acknowledged entry that the primary of the highest term does not hold.
 *
 * @param state The state.
 * @returns The entry; undefined when that primary holds every acknowledged entry.
 *
 * @example
 * const isSafe = findLostEntry(state) === undefined;
 */
export function findLostEntry(state: ModelState): number | undefined {
    const newest = state.attempts.findLast(attempt => attempt.primary !== undefined);
    const primary = newest?.primary === undefined ? undefined : state.endpoints[newest.primary];
    return primary === undefined
        ? undefined
        : state.acknowledged.find(entry => !primary.log.includes(entry));
}
