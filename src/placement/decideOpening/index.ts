import { workspaceConstants } from "../../workspaces/constants.js";
import { chooseEvicted } from "../chooseEvicted/index.js";
import { placementConstants } from "../constants.js";
import type { ConnectionRefusal } from "../types/ConnectionRefusal.js";
import type { EvictionCandidate } from "../types/EvictionCandidate.js";
import type { OpeningDecision } from "../types/OpeningDecision.js";
import { OpeningDecisionKind } from "../types/OpeningDecisionKind.js";
import type { PoolOccupancy } from "../types/PoolOccupancy.js";

/** What happened at the pool before. */
interface OpeningHistory {
    /** The endpoint's last refusal because it held too many connections. */
    readonly refusal: ConnectionRefusal | undefined;
    /** When a connection of the pool was last evicted; minus infinity before the first time. */
    readonly lastEvictionAt: number;
}

/**
 * Decides about a connection that an owner needs and has no idle one of.
 *
 * For a while after the endpoint has refused a connection because it held too many, the VM replaces its own connections
 * instead of asking for more; only for an owner that has none, while none can be replaced, it asks again. A pool without
 * connections of workspaces follows the limit alone.
 *
 * @param owner The owner that needs the connection.
 * @param occupancy The open connections and their limit.
 * @param history The last refusal and the last eviction.
 * @param now Time on the process's clock in milliseconds.
 * @returns Whether to open it, to replace another one, or to wait.
 *
 * @example
 * const decision = decideOpening("museum-shops", { idle, counts, limit: 6 }, { refusal, lastEvictionAt }, clock.now());
 */
export function decideOpening<Candidate extends EvictionCandidate>(
    owner: string,
    occupancy: PoolOccupancy<Candidate>,
    { refusal, lastEvictionAt }: OpeningHistory,
    now: number,
): OpeningDecision<Candidate> {
    const { counts, limit } = occupancy;
    const ownCount = counts.get(owner) ?? 0;
    const connectionCount = [...counts.values()].reduce((sum, count) => sum + count, 0);
    const isRefusing = refusal !== undefined && now - refusal.at < placementConstants.refusalMilliseconds;
    const hasWorkspace = owner !== workspaceConstants.anonymousOwner || ownCount < connectionCount;
    const acceptedCount = isRefusing && hasWorkspace ? refusal.connectionCount : limit;
    if (connectionCount < Math.min(limit, acceptedCount)) {
        return { kind: OpeningDecisionKind.Open };
    }
    const isEvicting = now - lastEvictionAt >= placementConstants.evictionIntervalMilliseconds;
    const evicted = isEvicting ? chooseEvicted(owner, occupancy, now) : undefined;
    if (evicted !== undefined) {
        return { kind: OpeningDecisionKind.Replace, evicted };
    }
    const isAskingAgain = ownCount === 0 && connectionCount < limit;
    return { kind: isAskingAgain ? OpeningDecisionKind.Open : OpeningDecisionKind.Wait };
}
