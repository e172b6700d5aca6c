import { comparePositions } from "../../statements/comparePositions/index.js";
import type { CandidateStatus } from "../types/CandidateStatus.js";

/** Options of `chooseSuccessor`. */
interface SuccessorOptions {
    /** Number of replicas of the group, including those that did not answer. */
    readonly replicas: number;
    /** Number of replicas that must have received a commit before it is acknowledged. */
    readonly synchronousReplicas: number;
    /** Among candidates with the same log position, one that is the primary is preferred, then one in this region. */
    readonly preferredRegion: string | undefined;
    readonly regionsByZone: Readonly<Record<string, string>>;
    /** Whether a candidate may be promoted now; the log of one that may not still counts. */
    readonly isEligible: (candidate: CandidateStatus) => boolean;
}

/**
 * Chooses the endpoint that becomes the primary: the one with the highest log position.
 *
 * With synchronous replicas, every acknowledged commit is on at least that many replicas. Enough candidates must have
 * answered that at least one of these replicas is among them, and none of them may have a longer log than the chosen one.
 *
 * @param candidates The endpoints that answered.
 * @param options Size of the group, number of synchronous replicas, the preferred region, and who is eligible.
 * @returns The candidate; undefined when too few answered, or none that is eligible has all acknowledged commits.
 *
 * @example
 * chooseSuccessor(candidates, { replicas: 2, synchronousReplicas: 0, preferredRegion, regionsByZone, isEligible });
 */
export function chooseSuccessor(
    candidates: readonly CandidateStatus[],
    options: SuccessorOptions,
): CandidateStatus | undefined {
    const { replicas, synchronousReplicas, preferredRegion, regionsByZone } = options;
    const requiredAnswers = synchronousReplicas === 0 ? 1 : replicas - synchronousReplicas + 1;
    if (candidates.length < requiredAnswers) {
        return undefined;
    }
    const preferenceOf = ({ endpoint }: CandidateStatus): number =>
        regionsByZone[endpoint.address.availabilityZone] === preferredRegion ? 1 : 0;
    const [longest, ...others] = [...candidates].sort((left, right) =>
        comparePositions(right.status.received, left.status.received)
        || Number(right.status.isPrimary) - Number(left.status.isPrimary)
        || preferenceOf(right) - preferenceOf(left)
    );
    const isComplete = ({ status }: CandidateStatus): boolean =>
        synchronousReplicas === 0 || comparePositions(status.received, longest!.status.received) >= 0;
    return [longest!, ...others].find(candidate => options.isEligible(candidate) && isComplete(candidate));
}
