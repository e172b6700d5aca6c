/** The longest interval of a database without an acknowledged write. */
export interface WriteGap {
    readonly database: string;
    /** The fault around which the gap was measured; the whole run if undefined. */
    readonly fault?: string;
    readonly milliseconds: number;
    /** Start of the interval, in milliseconds since the run began. */
    readonly from: number;
    /** Whether a write was acknowledged after the gap, before the run ended. */
    readonly isOver: boolean;
}
