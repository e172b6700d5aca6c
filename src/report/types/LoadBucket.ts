/** Figures of one interval of a run. */
export interface LoadBucket {
    /** Middle of the interval, in seconds since the run began. */
    readonly seconds: number;
    readonly p50: number;
    readonly p99: number;
    /** Share of answered reads that a replica served, in percent; undefined without reads. */
    readonly replicaSharePercent?: number;
    readonly acknowledgedWrites: number;
}
