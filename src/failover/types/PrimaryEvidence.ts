import type { ProbeVerdict } from "./ProbeVerdict.js";

/** What is known about a suspected primary. */
export interface PrimaryEvidence {
    readonly own: ProbeVerdict;
    /** Verdicts of gateways in other availability zones. */
    readonly others: readonly ProbeVerdict[];
    /** Whether every prober has answered or run into its time limit. */
    readonly isComplete: boolean;
    /** For each replica the time since it heard the primary; undefined when the replica was not reached. */
    readonly replicaSilenceMilliseconds: readonly (number | undefined)[];
    /** Endpoints that make up a majority of the group. */
    readonly majority: number;
    readonly suspectedForMilliseconds: number;
}
