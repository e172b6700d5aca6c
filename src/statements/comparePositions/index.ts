import type { LogPosition } from "../types/LogPosition.js";

/**
 * Compares two positions of one group's log.
 *
 * @param left A position.
 * @param right Another position.
 * @returns Below 0 when the left one is older, above 0 when it is newer, 0 when they are equal.
 *
 * @example
 * comparePositions({ term: 3, entry: 7 }, { term: 3, entry: 9 }); // => -2
 */
export function comparePositions(left: LogPosition, right: LogPosition): number {
    return left.term - right.term || left.entry - right.entry;
}
