import { hashText } from "../../hashing/hashText/index.js";
import { mixHashes } from "../../hashing/mixHashes/index.js";

/**
 * Ranks names for a key by rendezvous hashing (Thaler and Ravishankar, 1998).
 *
 * Every process computes the same order from the same names. When a name is added or removed, the order of the
 * others stays, so only the keys that ranked that name first move.
 *
 * @param key The key to assign, for example an endpoint's name.
 * @param names The candidates, in any order.
 * @returns The names, best first.
 *
 * @example
 * const [coordinator] = rankByRendezvous("stock", ["vm-1-gateway", "vm-2-gateway"]);
 */
export function rankByRendezvous(key: string, names: readonly string[]): string[] {
    const keyHash = hashText(key);
    const weights = new Map(names.map(name => [name, mixHashes(keyHash, hashText(name))]));
    return [...weights.keys()].sort((left, right) => {
        const difference = weights.get(right)! - weights.get(left)!;
        return difference !== 0 ? difference : left < right ? -1 : 1;
    });
}
