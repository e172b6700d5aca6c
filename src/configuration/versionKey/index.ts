import { configurationConstants } from "../constants.js";

/**
 * Writes a version number so that keys sort like numbers.
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
