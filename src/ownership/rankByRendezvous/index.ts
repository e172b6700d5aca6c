/**
 * Ranks names for a key by rendezvous hashing (Thaler and Ravishankar, 1998).
 *
 * Every process computes the same order from the same names. When a name is added or removed, the order of the
 * others stays, so only the keys that ranked that name first move.
 *
 * @param key The key to be placed, for example an endpoint's name.
 * @param names The candidates, in any order.
 * @returns The names, best first.
 *
 * @example
 * const [coordinator] = rankByRendezvous("stock", ["vm-1-gateway", "vm-2-gateway"]);
 */
export function rankByRendezvous(key: string, names: readonly string[]): string[] {
    const weights = new Map(names.map(name => [name, hashPair(key, name)]));
    return [...weights.keys()].sort((left, right) => {
        const difference = weights.get(right)! - weights.get(left)!;
        return difference !== 0 ? difference : left < right ? -1 : 1;
    });
}

function hashPair(key: string, name: string): number {
    return mixBits(hashText(name, hashText(key, 0x811c9dc5)));
}

/** FNV-1a with a separator after the text. */
function hashText(text: string, seed: number): number {
    let hash = seed;
    for (let index = 0; index < text.length; index += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    return Math.imul(hash ^ 0xffff, 0x01000193);
}

/** The finalizer of MurmurHash3: FNV alone spreads its last bytes badly. */
function mixBits(hash: number): number {
    let mixed = hash ^ (hash >>> 16);
    mixed = Math.imul(mixed, 0x85ebca6b);
    mixed ^= mixed >>> 13;
    mixed = Math.imul(mixed, 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
