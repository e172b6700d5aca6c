/** Options of `createBackoff`. */
export interface BackoffOptions {
    /** Upper bound of the first pause. */
    readonly firstMilliseconds: number;
    /** Upper bound of every pause. */
    readonly greatestMilliseconds: number;
    /** Number of pauses to yield; unlimited by default. */
    readonly attempts?: number;
}
