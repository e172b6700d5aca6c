import { hashText } from "../../hashing/hashText/index.js";
import { mixHashes } from "../../hashing/mixHashes/index.js";

const hashRange = 2 ** 32;

/**
 * Ranks names for a key by weighted rendezvous hashing: a name is ranked first for a share of the keys that is
 * proportional to its weight.
 *
 * Every process computes the same order from the same weights. When a name is added or removed, the order of the others
 * stays.
 *
 * @param key The key to assign, for example a group of endpoints.
 * @param weights The candidates and their weights, each above 0.
 * @returns The names, best first.
 *
 * @example
 * const [host] = rankByWeightedRendezvous("orders", new Map([["vm-1", 1.35], ["vm-2", 0.324]]));
 */
export function rankByWeightedRendezvous(key: string, weights: ReadonlyMap<string, number>): string[] {
    const keyHash = hashText(key);
    const scores = new Map<string, number>();
    for (const [name, weight] of weights) {
        const uniform = (mixHashes(keyHash, hashText(name)) + 1) / (hashRange + 1);
        scores.set(name, -weight / Math.log(uniform));
    }
    return [...scores.keys()].sort((left, right) => {
        const difference = scores.get(right)! - scores.get(left)!;
        return difference !== 0 ? difference : left < right ? -1 : 1;
    });
}
