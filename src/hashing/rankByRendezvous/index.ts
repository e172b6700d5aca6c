import { createHash } from "node:crypto";

/**
 * Ranks candidates for a key by rendezvous hashing (Thaler and Ravishankar, 1998).
 *
 * Every process that knows the same candidates finds the same order; when one leaves, only its own keys move.
 *
 * @param key What is to be placed.
 * @param candidates The candidates in any order.
 * @param nameOf Returns the unique name of a candidate.
 * @returns The candidates, the first choice first.
 *
 * @example
 * const [owner, standby] = rankByRendezvous("stock-1", gateways, gateway => gateway.name);
 */
export function rankByRendezvous<T>(key: string, candidates: readonly T[], nameOf: (candidate: T) => string): T[] {
    const weighted = candidates.map(candidate => {
        const digest = createHash("sha256").update(key).update("\n").update(nameOf(candidate)).digest("hex");
        return { candidate, digest };
    });
    weighted.sort((a, b) => (a.digest < b.digest ? 1 : -1));
    return weighted.map(({ candidate }) => candidate);
}
