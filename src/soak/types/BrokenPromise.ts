/** A promise that a run broke. */
export interface BrokenPromise {
    readonly promise: string;
    /** What was seen, for people. */
    readonly detail: string;
}
