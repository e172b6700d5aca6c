import { workspaceConstants } from "../../workspaces/constants.js";
import { chooseEvicted } from "../chooseEvicted/index.js";
import { placementConstants } from "../constants.js";
import type { EvictionCandidate } from "../types/EvictionCandidate.js";
import type { OpeningDecision } from "../types/OpeningDecision.js";
import { OpeningDecisionKind } from "../types/OpeningDecisionKind.js";
import type { OpeningHistory } from "../types/OpeningHistory.js";
import type { OpeningWish } from "../types/OpeningWish.js";
import type { PoolOccupancy } from "../types/PoolOccupancy.js";

/**
 * Decides about a connection that an owner needs and has no idle one of.
 *
 * For a while after the endpoint has refused a connection because it held too many, the VM replaces its own connections
 * instead of asking for more; only for an owner that has none, while none can be replaced, it asks again after a pause. A pool without
 * connections of workspaces follows the limit alone.
 *
 * @param wish The owner that needs the connection, and how urgently.
 * @param occupancy The open connections and their limit.
 * @param history The last refusal and the last evictions.
 * @param now Time on the process's clock in milliseconds.
 * @returns Whether to open it, to replace another one, or to wait.
 *
 * @example
 * const decision = decideOpening({ owner: "museum-shops", priority: 1 }, { idle, counts, limit: 6 }, history, now);
 */
export function decideOpening<Candidate extends EvictionCandidate>(
    wish: OpeningWish,
    occupancy: PoolOccupancy<Candidate>,
    history: OpeningHistory,
    now: number,
): OpeningDecision<Candidate> {
    const { counts, limit } = occupancy;
    const { owner } = wish;
    const { refusal, evictionsPaidUntil } = history;
    const ownCount = counts.get(owner) ?? 0;
    const connectionCount = [...counts.values()].reduce((sum, count) => sum + count, 0);
    const isRefusing = refusal !== undefined && now - refusal.at < placementConstants.darkConnectionMilliseconds;
    const hasWorkspace = owner !== workspaceConstants.anonymousOwner || ownCount < connectionCount;
    const acceptedCount = isRefusing && hasWorkspace ? refusal.connectionCount : limit;
    if (connectionCount === 0 || connectionCount < Math.min(limit, acceptedCount)) {
        return { kind: OpeningDecisionKind.Open };
    }
    const isEvicting = evictionsPaidUntil - now <= placementConstants.evictionAheadMilliseconds;
    const evicted = isEvicting ? chooseEvicted(wish, occupancy, history, now) : undefined;
    if (evicted !== undefined) {
        return { kind: OpeningDecisionKind.Replace, evicted };
    }
    const isPauseOver = !isRefusing || now - refusal.at >= placementConstants.connectionLimitPauseMilliseconds;
    const isAskingAgain = ownCount === 0 && connectionCount < limit && isPauseOver;
    return { kind: isAskingAgain ? OpeningDecisionKind.Open : OpeningDecisionKind.Wait };
}
