import { createHash } from "node:crypto";
import { canonicalizeValue } from "../canonicalizeValue/index.js";

/**
 * Computes the digest of one entry of a configuration: a database, a caller, a limit or another single value.
 *
 * @param path Name of the section, and the key of the entry if the section has keys.
 * @param value Value of the entry.
 * @returns SHA-256 as a number.
 *
 * @example
 * digestEntry(["limits", "requestBytes"], 1_000);
 */
export function digestEntry(path: readonly string[], value: unknown): bigint {
    const text = `${JSON.stringify(path)}${canonicalizeValue(value)}`;
    return BigInt(`0x${createHash("sha256").update(text).digest("hex")}`);
}
