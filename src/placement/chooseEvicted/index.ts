import { placementConstants } from "../constants.js";
import type { EvictionCandidate } from "../types/EvictionCandidate.js";
import type { OpeningHistory } from "../types/OpeningHistory.js";
import type { OpeningWish } from "../types/OpeningWish.js";
import type { PoolOccupancy } from "../types/PoolOccupancy.js";

/**
 * Chooses the idle connection that is closed to make room for a connection of another owner.
 *
 * Connections that served less urgent statements yield first, of these the ones of the owner with the most connections,
 * and of its connections the least recently used one. A connection that served more urgent statements yields when it is
 * idle for a while; one in use does so in intervals, for an owner without any. Among equally urgent ones, a connection
 * yields only when its owner keeps at least as many as the new owner gets, when the new owner has none, or when it was
 * abandoned; so a large workspace doesn't push out small ones. Each connection stays for a minimum time, and longer
 * while it has served no statement; so two owners don't evict each other by turns.
 *
 * @param wish The owner that needs a connection, and how urgently.
 * @param occupancy The open connections and their limit.
 * @param history When a connection last yielded to a less urgent statement.
 * @param now Time on the process's clock in milliseconds.
 * @returns The connection to close; undefined when none yields at present.
 *
 * @example
 * const evicted = chooseEvicted({ owner: "museum-shops", priority: 1 }, { idle, counts, limit: 6 }, history, now);
 */
export function chooseEvicted<Candidate extends EvictionCandidate>(
    { owner, priority }: OpeningWish,
    { idle, counts, limit }: PoolOccupancy<Candidate>,
    { lastLessUrgentAt }: Pick<OpeningHistory, "lastLessUrgentAt">,
    now: number,
): Candidate | undefined {
    const ownCount = counts.get(owner) ?? 0;
    const countOf = (candidate: Candidate): number => counts.get(candidate.owner) ?? 1;
    const hasLargerOwner = [...counts.values()].some(count => count >= ownCount + 2);
    const isLessUrgentTurn = now - lastLessUrgentAt >= placementConstants.lessUrgentIntervalMilliseconds;

    function isYielding(candidate: Candidate): boolean {
        const idleMilliseconds = now - lastUsedAt(candidate);
        const isSpared = idleMilliseconds < placementConstants.soleIdleMilliseconds;
        if (candidate.priority > priority && candidate.priority !== placementConstants.aheadPriority) {
            return true;
        }
        if (candidate.priority < priority && isSpared && !(ownCount === 0 && isLessUrgentTurn)) {
            return false;
        }
        if (countOf(candidate) >= ownCount + 2) {
            return true;
        }
        if (ownCount === 0) {
            return !hasLargerOwner || !isSpared;
        }
        return ownCount < limit * placementConstants.largeOwnerShare
            && idleMilliseconds >= placementConstants.abandonedMilliseconds;
    }

    return idle
        .filter(candidate => candidate.owner !== owner && !isResident(candidate, now) && isYielding(candidate))
        .sort((left, right) =>
            right.priority - left.priority || countOf(right) - countOf(left) || lastUsedAt(left) - lastUsedAt(right)
        )[0];
}

function isResident({ openedAt, lastServedAt }: EvictionCandidate, now: number): boolean {
    const { minimumResidenceMilliseconds, unservedResidenceMilliseconds } = placementConstants;
    const residence = lastServedAt === undefined ? unservedResidenceMilliseconds : minimumResidenceMilliseconds;
    return now - openedAt < residence;
}

function lastUsedAt({ openedAt, lastServedAt }: EvictionCandidate): number {
    return lastServedAt ?? openedAt;
}
