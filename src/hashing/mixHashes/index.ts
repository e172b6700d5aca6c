/**
 * Combines two 32-bit hashes into one, as the weight of a candidate in rendezvous hashing.
 *
 * @param left Hash of the key.
 * @param right Hash of the candidate.
 * @returns An integer from 0 to 2^32 - 1.
 *
 * @example
 * const weight = mixHashes(hashText("stock"), hashText("vm-1-gateway"));
 */
export function mixHashes(left: number, right: number): number {
    let hash = Math.imul(left ^ (right >>> 15), 0x2c1b3c6d) ^ Math.imul(right, 0x297a2d39);
    hash = Math.imul(hash ^ (hash >>> 12), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 15), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
