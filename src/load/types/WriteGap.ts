/** The longest interval of a database without an acknowledged write. */
export interface WriteGap {
    readonly database: string;
    /** The fault around which it was looked for; the whole run when left out. */
    readonly fault?: string;
    readonly milliseconds: number;
    /** Start of the interval, in milliseconds since the run began. */
    readonly from: number;
    /** False when no write was acknowledged until the run ended. */
    readonly isOver: boolean;
}
