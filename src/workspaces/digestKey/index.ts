import { createHash } from "node:crypto";

/**
 * Computes the digest by which a key is known after it was received, so that the key itself is kept and sent nowhere.
 *
 * @param key The key, as a caller or the configuration gives it.
 * @returns The digest.
 *
 * @example
 * const workspace = directory.workspaceOf(digestKey(key));
 */
export function digestKey(key: string): string {
    return createHash("sha256").update(key, "latin1").digest("base64url");
}
