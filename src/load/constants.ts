/** Constants of the load tool. */
export const loadConstants = {
    /** Time added to a request's deadline before the caller stops waiting for the answer. */
    answerGraceMilliseconds: 500,
    /** Mean pause of a session after a request that was not answered with a result. */
    meanRefusalPauseMilliseconds: 20,
    /** Maximum number of lookups of an unknown outcome by its request key. */
    maximumLookupAttempts: 20,
    maximumLookupPauseMilliseconds: 150,
    lookupDeadlineMilliseconds: 1_000,
    /** Maximum number of attempts to read one list after the run. */
    maximumFinalReadAttempts: 60,
    finalReadPauseMilliseconds: 100,
    finalReadConcurrency: 16,
    /** Share of bounded-staleness reads that are sent without the session's token, each as a session of its own. */
    singleReadSessionShare: 0.5,
    healthIntervalMilliseconds: 250,
    connectionsPerEntry: 256,
    /** Share of pair writes that are sent as one statement instead of a transaction of several requests. */
    singleStatementShare: 0.3,
    /** Share of pair writes that end with a rollback. */
    rollbackShare: 0.1,
    /** Share of moves to another entry that may leave the home region. */
    crossRegionRoamShare: 0.1,
    /** Time after a fault within which a write gap must begin to be attributed to it. */
    faultWindowMilliseconds: 20_000,
    maximumLatencyMicroseconds: 60_000_000,
    latencySignificantDigits: 3,
    microsecondsPerMillisecond: 1_000,
    millisecondsPerSecond: 1_000,
} as const;
