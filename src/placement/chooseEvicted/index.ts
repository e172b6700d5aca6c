import { placementConstants } from "../constants.js";
import type { EvictionCandidate } from "../types/EvictionCandidate.js";
import type { PoolOccupancy } from "../types/PoolOccupancy.js";

/**
 * Chooses the idle connection that is closed to make room for a connection of another owner.
 *
 * The owner with the most connections yields first, and of its connections the least recently used one. A connection
 * yields only when its owner keeps at least as many as the new owner gets, when the new owner has none, or when it was
 * abandoned; so a large workspace doesn't push out small ones. Each connection stays for a minimum time, and longer
 * while it has served no statement; so two owners don't evict each other by turns.
 *
 * @param owner The owner that needs a connection.
 * @param occupancy The open connections and their limit.
 * @param now Time on the process's clock in milliseconds.
 * @returns The connection to close; undefined when none yields at present.
 *
 * @example
 * const evicted = chooseEvicted("museum-shops", { idle, counts, limit: 6 }, clock.now());
 */
export function chooseEvicted<Candidate extends EvictionCandidate>(
    owner: string,
    { idle, counts, limit }: PoolOccupancy<Candidate>,
    now: number,
): Candidate | undefined {
    const ownCount = counts.get(owner) ?? 0;
    const countOf = (candidate: Candidate): number => counts.get(candidate.owner) ?? 1;
    const hasLargerOwner = [...counts.values()].some(count => count >= ownCount + 2);

    function isYielding(candidate: Candidate): boolean {
        const idleMilliseconds = now - lastUsedAt(candidate);
        if (countOf(candidate) >= ownCount + 2) {
            return true;
        }
        if (ownCount === 0) {
            return !hasLargerOwner || idleMilliseconds >= placementConstants.soleIdleMilliseconds;
        }
        return ownCount < limit * placementConstants.largeOwnerShare
            && idleMilliseconds >= placementConstants.abandonedMilliseconds;
    }

    return idle
        .filter(candidate => candidate.owner !== owner && !isResident(candidate, now) && isYielding(candidate))
        .sort((left, right) => countOf(right) - countOf(left) || lastUsedAt(left) - lastUsedAt(right))[0];
}

function isResident({ openedAt, lastServedAt }: EvictionCandidate, now: number): boolean {
    const { minimumResidenceMilliseconds, unservedResidenceMilliseconds } = placementConstants;
    const residence = lastServedAt === undefined ? unservedResidenceMilliseconds : minimumResidenceMilliseconds;
    return now - openedAt < residence;
}

function lastUsedAt({ openedAt, lastServedAt }: EvictionCandidate): number {
    return lastServedAt ?? openedAt;
}
