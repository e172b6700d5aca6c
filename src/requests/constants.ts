/** Constants of the execution of requests. */
export const requestConstants = {
    /** Share of the time left that one attempt may take when another may follow. */
    attemptShare: 0.5,
    /** An attempt is given at least this time while there is as much, so that slow answers are not cut off. */
    undividedAttemptMilliseconds: 250,
    /** Attempts of a read or of a write with a request key, the first included. */
    attempts: 3,
    /** An attempt with less time than this is not worth starting. */
    leastAttemptMilliseconds: 5,
    /** A leaving primary still takes writes for this time, until it is succeeded. */
    leavingPrimaryGraceMilliseconds: 2_000,
} as const;
