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
 * @param patch The patch that led from one to the other.
 * @returns Digest after, in hexadecimal.
 *
 * @example
 * const digest = updateDigest(state.digest, state.document, document, patch);
 */
export function updateDigest(
    digest: string,
    before: ConfigurationDocument,
    after: ConfigurationDocument,
    patch: Readonly<Record<string, unknown>>,
): string {
    let sum = BigInt(`0x${digest}`);
    for (const [section, sectionPatch] of Object.entries(patch)) {
        const [valueBefore, valueAfter] = [ownValue(before, section), ownValue(after, section)];
        const isEntrywise = isRecord(sectionPatch) && (valueBefore === undefined || isRecord(valueBefore));
        const keys = isEntrywise ? Object.keys(sectionPatch) : undefined;
        sum += sumSection(section, valueAfter, keys) - sumSection(section, valueBefore, keys);
    }
    const reduced = ((sum % digestModulus) + digestModulus) % digestModulus;
    return reduced.toString(16).padStart(64, "0");
}

/** Sums the digests of a section's entries, of those with the given keys or of all. */
function sumSection(section: string, value: unknown, keys: readonly string[] | undefined): bigint {
    if (value === undefined) {
        return 0n;
    }
    if (!isRecord(value)) {
        return digestEntry([section], value);
    }
    let sum = 0n;
    for (const key of keys ?? Object.keys(value)) {
        if (Object.hasOwn(value, key)) {
            sum += digestEntry([section, key], value[key]);
        }
    }
    return sum;
}

function ownValue(document: ConfigurationDocument, section: string): unknown {
    return Object.hasOwn(document, section) ? document[section as keyof ConfigurationDocument] : undefined;
}
