/** Everything acknowledged before the stamp is at or below the position. */
export interface FreshnessEvidence {
    readonly position: number;
    /** Reading of this process's monotonic clock, taken before the position was asked for. */
    readonly stampedAt: number;
}
