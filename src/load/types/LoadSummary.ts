import type { LatencySummary } from "./LatencySummary.js";
import type { WriteGap } from "./WriteGap.js";

/** The figures of one run of load. */
export interface LoadSummary {
    readonly seconds: number;
    readonly operationCount: number;
    readonly answersPerSecond: number;
    readonly countByOutcome: Readonly<Record<string, number>>;
    readonly countByReason: Readonly<Record<string, number>>;
    readonly latencyByKind: Readonly<Record<string, LatencySummary>>;
    /** Share of answered reads that a replica served. */
    readonly replicaShare: number;
    readonly writeGaps: readonly WriteGap[];
}
