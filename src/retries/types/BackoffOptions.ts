/** Options of `createBackoff`. */
export interface BackoffOptions {
    /** Upper bound of the first pause. */
    readonly initialMilliseconds: number;
    /** Upper bound of every pause. */
    readonly maximumMilliseconds: number;
    /** Number of pauses to yield; unlimited by default. */
    readonly attempts?: number;
}
