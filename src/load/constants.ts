/** Constants of the load tool. */
export const loadConstants = {
    /** Time added to a request's deadline before the caller stops waiting for the answer. */
    answerGraceMilliseconds: 500,
    /** Mean pause of a session after a request that did not run. */
    refusalPauseMilliseconds: 20,
    /** Attempts to learn an unknown outcome under its request key. */
    lookupAttempts: 20,
    lookupPauseMilliseconds: 150,
    lookupDeadlineMilliseconds: 1_000,
    /** Attempts to read one list after the run. */
    finalReadAttempts: 60,
    finalReadPauseMilliseconds: 100,
    finalReadConcurrency: 16,
    /** Share of aged reads that belong to no session. */
    detachedAgedShare: 0.5,
    healthIntervalMilliseconds: 250,
    connectionsPerEntry: 256,
    /** Share of pair writes that are one statement in place of a transaction of several requests. */
    singleStatementShare: 0.3,
    /** Share of pair writes that end with a rollback. */
    rollbackShare: 0.1,
    /** Share of moves that may lead to another region. */
    foreignRoamShare: 0.1,
    /** Longest interval after a fault in which a write gap counts as its effect. */
    faultWindowMilliseconds: 20_000,
    highestLatencyMicroseconds: 60_000_000,
    latencySignificantDigits: 3,
    microsecondsPerMillisecond: 1_000,
    millisecondsPerSecond: 1_000,
} as const;
