import type { HolderNumber } from "../types/HolderNumber.js";

/**
 * Compares two numbers that holders of the failover duty assigned.
 *
 * @param left A number.
 * @param right Another number.
 * @returns A positive number if `left` is higher, a negative number if it is lower, 0 if they are the same.
 *
 * @example
 * const isNewer = compareHolderNumbers(update.version, version) > 0;
 */
export function compareHolderNumbers(left: HolderNumber, right: HolderNumber): number {
    return left.token - right.token || left.count - right.count;
}
