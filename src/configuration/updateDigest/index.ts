import { digestEntry } from "../digestEntry/index.js";
import { isRecord } from "../isRecord/index.js";
import type { ConfigurationDocument } from "../types/ConfigurationDocument.js";

const digestModulus = 1n << 256n;

/**
 * Computes the digest after a patch from the digest before it, by the entries that the patch names.
 *
 * The digest is the sum of the entries' digests, so its cost follows the patch and not the whole content.
 * It finds diverged content; it is no protection against forgery.
 *
 * @param digest Digest before, in hexadecimal.
 * @param before Content before.
 * @param after Content after.
 * @returns Digest after, in hexadecimal.
 *
 * @example
 * const digest = updateDigest(state.digest, state.document, document);
 */
export function updateDigest(digest: string, before: ConfigurationDocument, after: ConfigurationDocument): string {
    const sections = new Set([...Object.keys(before), ...Object.keys(after)] as (keyof ConfigurationDocument)[]);
    let sum = BigInt(`0x${digest}`);
    for (const section of sections) {
        if (before[section] !== after[section]) {
            sum += sumSection(section, after[section], before[section])
                - sumSection(section, before[section], after[section]);
        }
    }
    const reduced = ((sum % digestModulus) + digestModulus) % digestModulus;
    return reduced.toString(16).padStart(64, "0");
}

/** Sums the entries of a section that are not the same object or value in the other state of it. */
function sumSection(section: string, value: unknown, other: unknown): bigint {
    if (value === undefined) {
        return 0n;
    }
    if (!isRecord(value)) {
        return digestEntry([section], value);
    }
    const others = isRecord(other) ? other : {};
    let sum = 0n;
    for (const [key, entry] of Object.entries(value)) {
        if (others[key] !== entry) {
            sum += digestEntry([section, key], entry);
        }
    }
    return sum;
}
