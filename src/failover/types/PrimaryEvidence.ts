import type { ProbeVerdict } from "./ProbeVerdict.js";

/** Evidence about a suspected primary. */
export interface PrimaryEvidence {
    /** Verdict of the coordinator's own probe. */
    readonly ownVerdict: ProbeVerdict;
    /** Verdicts of gateways in other availability zones. */
    readonly otherVerdicts: readonly ProbeVerdict[];
    /** Whether every prober has answered or reached its time limit. */
    readonly isComplete: boolean;
    /** For each replica the time since its last contact with the primary; undefined for an unreachable replica. */
    readonly replicaContactAgesMilliseconds: readonly (number | undefined)[];
    /** Number of endpoints that make up a majority of the group. */
    readonly majority: number;
    readonly suspectedForMilliseconds: number;
}
