import { compareHolderNumbers } from "../compareHolderNumbers/index.js";
import type { HolderNumber } from "../types/HolderNumber.js";

/**
 * Chooses the higher of two numbers that holders of the failover duty assigned.
 *
 * @param left A number.
 * @param right Another number.
 * @returns The higher one.
 *
 * @example
 * latest = chooseHigherNumber(latest, announcement.sequence);
 */
export function chooseHigherNumber(left: HolderNumber, right: HolderNumber): HolderNumber {
    return compareHolderNumbers(left, right) >= 0 ? left : right;
}
