/**
 * Hashes a text to 32 bits (FNV-1a with a final mix).
 *
 * For distribution and comparison, not for security.
 *
 * @param text Any text.
 * @returns An integer from 0 to 2^32 - 1.
 *
 * @example
 * const bucket = hashText("stock") % 64;
 */
export function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
