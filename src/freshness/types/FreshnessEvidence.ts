/** Evidence that every entry acknowledged before `stampedAt` is at or below the position. */
export interface FreshnessEvidence {
    readonly position: number;
    /** Reading of this process's monotonic clock, in milliseconds, made before the position was requested. */
    readonly stampedAt: number;
}
