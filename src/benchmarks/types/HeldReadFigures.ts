/** Latency of reads at a primary during writes. */
export interface HeldReadFigures {
    /** Whether answers were delayed until their position was confirmed. */
    readonly isHeld: boolean;
    readonly replicationLagMilliseconds: number;
    readonly reads: number;
    readonly readP50Milliseconds: number;
    readonly readP99Milliseconds: number;
}
