import { configurationConstants } from "../constants.js";

/**
 * Formats a version number as a key; keys sort in the order of their versions.
 *
 * @param version The version number.
 * @returns Twelve digits.
 *
 * @example
 * versionKey(7); // "000000000007"
 */
export function versionKey(version: number): string {
    return String(version).padStart(configurationConstants.versionDigits, "0");
}
