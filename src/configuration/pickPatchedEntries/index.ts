import { isPlainObject } from "../isPlainObject/index.js";
import type { ConfigurationDocument } from "../types/ConfigurationDocument.js";

/**
 * Picks the entries of a document that a patch names.
 *
 * @param document The document after the patch.
 * @param patch The patch.
 * @returns The named entries that exist in the document; a section without entries is included as a whole.
 *
 * @example
 * pickPatchedEntries(document, { databases: { stock: {} } }); // { databases: { stock: { ... } } }
 */
export function pickPatchedEntries(
    document: ConfigurationDocument,
    patch: Readonly<Record<string, unknown>>,
): ConfigurationDocument {
    const patched = Object.entries(patch).flatMap(([section, sectionPatch]) => {
        const value: unknown = Object.hasOwn(document, section)
            ? document[section as keyof ConfigurationDocument]
            : undefined;
        if (value === undefined) {
            return [];
        }
        if (!isPlainObject(value) || !isPlainObject(sectionPatch)) {
            return [[section, value] as const];
        }
        const keys = Object.keys(sectionPatch).filter(key => Object.hasOwn(value, key));
        return [[section, Object.fromEntries(keys.map(key => [key, value[key]]))] as const];
    });
    return Object.fromEntries(patched) as ConfigurationDocument;
}
