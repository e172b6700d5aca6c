/** Latency of reads at a primary during writes. */
export interface ConfirmedReadFigures {
    /** Whether answers were delayed until their position was confirmed. */
    readonly isConfirmed: boolean;
    readonly replicationLagMilliseconds: number;
    readonly reads: number;
    readonly readP50Milliseconds: number;
    readonly readP99Milliseconds: number;
}
