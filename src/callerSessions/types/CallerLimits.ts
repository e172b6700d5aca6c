/** Limits of what callers may hold of a VM, beside the memory of their connections. */
export interface CallerLimits {
    /** Descriptors that the process may open. */
    readonly maximumDescriptors: number;
    /** Bytes of the values and prepared statements of one session. */
    readonly sessionBytes: number;
    /** Bytes that an endpoint may answer at once. */
    readonly answerBytes: number;
    /** Time in which a message that was begun, or an answer that was not taken, has to make progress. */
    readonly progressMilliseconds: number;
}
