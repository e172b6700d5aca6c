/** Options of `createBackoff`. */
export interface BackoffOptions {
    readonly firstMilliseconds: number;
    readonly greatestMilliseconds: number;
    /** Pauses before the generator ends; endless when left out. */
    readonly attempts?: number;
}
