/** Constants of callers' sessions. */
export const callerSessionConstants = {
    /** Time within which a caller has to open its session after connecting, in milliseconds. */
    openTimeoutMilliseconds: 10_000,
    /** Longest wait of a new session for the process's first routing table, in milliseconds. */
    directoryWaitMilliseconds: 1_800,
    /** Polling interval of that wait, in milliseconds. */
    directoryPollingMilliseconds: 20,
    /** Longest wait for a command in a session without a transaction, in milliseconds; then the wait begins anew. */
    commandWaitMilliseconds: 3_600_000,
    /** Share of a statement's remaining time that it may wait for a connection. */
    acquisitionShare: 0.6,
    /** Share of a statement's time limit after which a read is retried at another endpoint. */
    readAttemptShare: 0.6,
    /** Part of a statement's time limit that is reserved for sending the answer to the caller, in milliseconds. */
    answerReserveMilliseconds: 20,
    /** Most attempts of one statement. */
    maximumAttempts: 8,
    /** First and longest pause between attempts of a statement, in milliseconds. */
    initialRetryMilliseconds: 4,
    maximumRetryMilliseconds: 80,
    /** Time limit of rolling back a transaction on an endpoint, in milliseconds. */
    rollbackTimeoutMilliseconds: 2_000,
    /** Evidence of a primary's position is renewed when this share of the staleness bound has passed. */
    evidenceRenewalShare: 0.5,
    /** Time limit of querying a primary for its log position, in milliseconds. */
    evidenceTimeoutMilliseconds: 600,
    /** Time that idle sessions stay open during a stop, until new connections go to other VMs, in milliseconds. */
    idleCloseDelayMilliseconds: 2_300,
    /** Share of the grace time after which idle sessions are closed at the latest. */
    idleCloseGraceShare: 0.4,
    /** Share of the grace time after which new sessions, statements and transactions are refused. */
    refusalGraceShare: 0.45,
    /** Share of the grace time after which statements that wait for a connection are refused. */
    waitGraceShare: 0.6,
    /** Share of the grace time after which open transactions are rolled back; callers are owed half. */
    transactionGraceShare: 0.65,
    /** Share of the grace time after which statements that endpoints still run are answered as unknown. */
    answerGraceShare: 0.85,
    /** Share of the grace time after which the stop waits for callers' connections no longer. */
    closeGraceShare: 0.9,
    /** Time that a connection has to send its first message during a stop, in milliseconds. */
    stopOpenTimeoutMilliseconds: 500,
    /** Polling interval of the sessions during a stop, in milliseconds. */
    stopPollingMilliseconds: 50,
    /** Longest turn of the event loop after which a session without a statement counts as idle, in milliseconds. */
    maximumTurnMilliseconds: 50,
    /** Longest wait for input that has arrived, in milliseconds; the stop goes on although each turn takes long. */
    maximumInputWaitMilliseconds: 200,
    /** Bytes that a begun message, or an answer that is not taken, has to make progress by. */
    leastProgressBytes: 16_384,
    /** Sessions that are looked at, at most, for one that gives its place to a new connection. */
    maximumIdleLooks: 64,
    /** Least time between two log lines on refused or closed connections, in milliseconds. */
    lossLogMilliseconds: 1_000,
    /** Descriptors of a process whose settings do not tell, and the range of such limits. */
    defaultDescriptors: 65_536,
    leastDescriptors: 256,
    mostDescriptors: 1_048_576,
    /** Descriptors that are kept for endpoints, other VMs, the platform and the process itself. */
    reservedDescriptors: 200,
    /** Bytes of the values and prepared statements of one session, and their range. */
    defaultSessionBytes: 2_097_152,
    leastSessionBytes: 65_536,
    mostSessionBytes: 33_554_432,
    /** Bytes that an endpoint may answer at once, and their range. */
    defaultAnswerBytes: 16_777_216,
    leastAnswerBytes: 2_097_152,
    mostAnswerBytes: 268_435_456,
    /** Time in which a begun message or an answer that is not taken has to make progress, and its range, in milliseconds. */
    defaultProgressMilliseconds: 60_000,
    leastProgressMilliseconds: 1_000,
    mostProgressMilliseconds: 3_600_000,
    /** Polling interval of a statement that waits until its VM has heard of the holder of the failover duty, in milliseconds. */
    verifiabilityPollingMilliseconds: 50,
} as const;
