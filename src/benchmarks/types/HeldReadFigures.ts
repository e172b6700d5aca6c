/** What reads at a primary cost while it takes writes. */
export interface HeldReadFigures {
    /** Whether answers were held until their position was confirmed. */
    readonly isHeld: boolean;
    readonly replicationLagMilliseconds: number;
    readonly reads: number;
    readonly readP50Milliseconds: number;
    readonly readP99Milliseconds: number;
}
