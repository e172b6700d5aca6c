import { configurationConstants } from "../constants.js";

/**
 * Formats a version number as a key; keys sort in the order of their versions.
 *
 * @param version The version number.
 * @returns Twelve digits.
 *
 * @example
 * formatVersionKey(7); // "000000000007"
 */
export function formatVersionKey(version: number): string {
    return String(version).padStart(configurationConstants.versionDigits, "0");
}
