import { digestEntry } from "../digestEntry/index.js";
import { isPlainObject } from "../isPlainObject/index.js";
import type { ConfigurationDocument } from "../types/ConfigurationDocument.js";

const digestModulus = 1n << 256n;

/**
 * Computes the digest after a patch from the digest before it and the entries that the patch names.
 *
 * The digest is the sum of the entries' digests, so the cost depends on the size of the patch and not of the document.
 * It detects diverged documents; it does not protect against forgery.
 *
 * @param digest Digest before the patch, in hexadecimal.
 * @param before Document before the patch.
 * @param after Document after the patch.
 * @param patch The patch that turned one document into the other.
 * @returns Digest after the patch, in hexadecimal.
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
        const [valueBefore, valueAfter] = [readSection(before, section), readSection(after, section)];
        const isEntrywise = isPlainObject(sectionPatch) && (valueBefore === undefined || isPlainObject(valueBefore));
        const keys = isEntrywise ? Object.keys(sectionPatch) : undefined;
        sum += sumSection(section, valueAfter, keys) - sumSection(section, valueBefore, keys);
    }
    const reduced = ((sum % digestModulus) + digestModulus) % digestModulus;
    return reduced.toString(16).padStart(64, "0");
}

/** Sums the digests of a section's entries: those with the given keys, or all of them. */
function sumSection(section: string, value: unknown, keys: readonly string[] | undefined): bigint {
    if (value === undefined) {
        return 0n;
    }
    if (!isPlainObject(value)) {
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

function readSection(document: ConfigurationDocument, section: string): unknown {
    return Object.hasOwn(document, section) ? document[section as keyof ConfigurationDocument] : undefined;
}
