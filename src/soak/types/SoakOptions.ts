/** Options of a soak test. */
export interface SoakOptions {
    readonly seed: number;
    /** Duration of the fault injection, in milliseconds. */
    readonly durationMilliseconds: number;
    readonly vmCount: number;
    readonly callerCount: number;
}
