import { comparePositions } from "../../statements/comparePositions/index.js";
import type { CandidateStatus } from "../types/CandidateStatus.js";

/** What the choice depends on besides the candidates. */
interface SuccessorOptions {
    /** Replicas of the group, those that did not answer included. */
    readonly replicas: number;
    /** Replicas that must have received a commit before it is acknowledged. */
    readonly synchronousReplicas: number;
    /** A candidate in this region is preferred among those that hold as much. */
    readonly preferredRegion: string | undefined;
    readonly regionsByZone: Readonly<Record<string, string>>;
}

/**
 * Chooses the endpoint that becomes the primary: the one that holds most.
 *
 * Where commits wait for replicas, every acknowledged commit is on at least that many of them; so many answers are
 * needed that one of those is among them.
 *
 * @param candidates The endpoints that answered.
 * @param options Size of the group, what its commits wait for, and the preferred region.
 * @returns The candidate; undefined when too few answered.
 *
 * @example
 * chooseSuccessor(candidates, { replicas: 2, synchronousReplicas: 0, preferredRegion: "north", regionsByZone });
 */
export function chooseSuccessor(
    candidates: readonly CandidateStatus[],
    options: SuccessorOptions,
): CandidateStatus | undefined {
    const { replicas, synchronousReplicas, preferredRegion, regionsByZone } = options;
    const needed = synchronousReplicas === 0 ? 1 : replicas - synchronousReplicas + 1;
    if (candidates.length < needed) {
        return undefined;
    }
    const isPreferred = ({ endpoint }: CandidateStatus): number =>
        regionsByZone[endpoint.address.availabilityZone] === preferredRegion ? 1 : 0;
    return [...candidates].sort((left, right) =>
        comparePositions(right.status.received, left.status.received) || isPreferred(right) - isPreferred(left)
    )[0];
}
