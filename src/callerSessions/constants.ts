/** Constants of callers' sessions. */
export const callerSessionConstants = {
    /** A caller that opened a connection has this long to open its session, in milliseconds. */
    openMilliseconds: 10_000,
    /** A session that is opened before the first routing table is known waits for it, at most this long. */
    directoryMilliseconds: 1_800,
    directoryCheckMilliseconds: 20,
    /** An idle session is looked at again after this time, in milliseconds. */
    idleMilliseconds: 3_600_000,
    /** Commands that may wait for their turn in one session. */
    waitingCommands: 64,
    /** Share of the statement's time limit that it may wait for a connection. */
    waitShare: 0.6,
    /** Share of the statement's time limit after which a read is tried elsewhere. */
    readAttemptShare: 0.6,
    /** Kept back from a statement's time limit for the way of the answer, in milliseconds. */
    answerMilliseconds: 20,
    /** Attempts of one statement. */
    greatestAttempts: 8,
    /** Pauses between attempts that were refused without having run. */
    firstRetryMilliseconds: 4,
    greatestRetryMilliseconds: 80,
    /** Time limit of ending a transaction on an endpoint, in milliseconds. */
    rollbackMilliseconds: 2_000,
    /** Evidence of a primary's position is renewed when this share of the staleness bound has passed. */
    evidenceRenewalShare: 0.5,
    /** Time limit of asking a primary for its position, in milliseconds. */
    evidenceMilliseconds: 600,
    /** After the order to stop, idle sessions are left open until new connections go elsewhere, in milliseconds. */
    rotationMilliseconds: 2_300,
    /** Share of the grace time that open transactions have to end. */
    transactionGraceShare: 0.5,
    /** Share of the grace time after which the process ends. */
    endGraceShare: 0.85,
    /** How often sessions are looked at while stopping, in milliseconds. */
    stopCheckMilliseconds: 50,
} as const;
