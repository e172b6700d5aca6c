import type { ConfigurationDocument } from "../types/ConfigurationDocument.js";
import { updateDigest } from "../updateDigest/index.js";

/**
 * Computes the digest of a whole document.
 *
 * @param document The document.
 * @returns The digest in hexadecimal, 64 digits.
 *
 * @example
 * digestDocument({}); // 64 zeros
 */
export function digestDocument(document: ConfigurationDocument): string {
    return updateDigest("0".repeat(64), {}, document, { ...document });
}
