import jsonMergePatch from "json-merge-patch";
import { isPlainObject } from "../isPlainObject/index.js";
import type { ConfigurationDocument } from "../types/ConfigurationDocument.js";

/**
 * Applies a JSON merge patch (RFC 7396) to a document without changing it.
 *
 * Entries that the patch does not name are shared with the previous document, so that the cost of this function and
 * of a later comparison depends on the size of the patch only.
 *
 * @param document The document before the patch.
 * @param patch The patch, an object.
 * @returns The document after the patch.
 *
 * @example
 * applyPatch({ limits: { requestBytes: 1 } }, { limits: { requestBytes: 2 } });
 */
export function applyPatch(
    document: ConfigurationDocument,
    patch: Readonly<Record<string, unknown>>,
): ConfigurationDocument {
    return mergeRecord(document as Readonly<Record<string, unknown>>, patch, mergeSection) as ConfigurationDocument;
}

function mergeSection(before: unknown, patch: unknown): unknown {
    return isPlainObject(patch) ? mergeRecord(isPlainObject(before) ? before : {}, patch, mergeEntry) : patch;
}

function mergeEntry(before: unknown, patch: unknown): unknown {
    return jsonMergePatch.apply(structuredClone(before), structuredClone(patch));
}

/** Copies one level of an object and merges the keys that the patch names; a key patched to null is removed. */
function mergeRecord(
    before: Readonly<Record<string, unknown>>,
    patch: Readonly<Record<string, unknown>>,
    merge: (before: unknown, patch: unknown) => unknown,
): Readonly<Record<string, unknown>> {
    const after: Record<string, unknown> = { ...before };
    for (const [key, value] of Object.entries(patch)) {
        if ((value ?? undefined) === undefined) {
            delete after[key];
        }
        else {
            after[key] = merge(Object.hasOwn(before, key) ? before[key] : undefined, value);
        }
    }
    return after;
}
