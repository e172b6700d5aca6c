/** What a soak is run with. */
export interface SoakOptions {
    readonly seed: number;
    /** Time in which faults are injected, in milliseconds. */
    readonly milliseconds: number;
    readonly vmCount: number;
    readonly callerCount: number;
}
