/** Constants of the execution of requests. */
export const requestConstants = {
    /** Share of the time left that one attempt may take when another may follow. */
    attemptShare: 0.5,
    /** Least time limit of an attempt while that much time is left, so that slow answers do not time out. */
    undividedAttemptMilliseconds: 250,
    /** Attempts of a read or of a write with a request key, the first included. */
    attempts: 3,
    /** No attempt is started with less time than this. */
    minimumAttemptMilliseconds: 5,
    /** A leaving primary accepts requests for at most this long, until another primary replaces it. */
    leavingPrimaryGraceMilliseconds: 2_000,
} as const;
