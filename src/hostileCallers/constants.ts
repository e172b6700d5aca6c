/** Constants of the tests with clients that do not keep the protocol's limits. */
export const hostileCallerConstants = {
    /** Memory limit of the process under test, and its runtime's share of it, in megabytes. */
    memoryMegabytes: 200,
    heapMegabytes: 160,
    bytesPerKibibyte: 1_024,
    bytesPerMegabyte: 1_048_576,
    /** Clients of a crowd; fewer than the connections that the descriptors allow. */
    crowdSize: 80,
    /** Time without a byte on any connection after which a crowd counts as settled, in milliseconds. */
    quietMilliseconds: 2_000,
    /** Longest message, in bytes. */
    messageBytes: 1_048_576,
    /** Descriptors that the process under test may open. */
    maximumDescriptors: 300,
    /** Descriptors that the process under test has open without clients, with room. */
    ownDescriptors: 60,
    /** Bytes of the values and prepared statements of one session. */
    sessionBytes: 2_097_152,
    /** Bytes that an endpoint may answer at once. */
    answerBytes: 4_194_304,
    /** Time in which a message or an answer has to make progress, in milliseconds. */
    progressMilliseconds: 1_000,
    /** Limits of an entry under test. */
    entryLimits: { connections: 200, bodyBytes: 16_777_216, requestMilliseconds: 1_000 },
    /** Interval between two readings of a process's open descriptors, in milliseconds. */
    samplingMilliseconds: 20,
    /** Time limit of an ordinary request with its retries, and of waiting for a state, in milliseconds. */
    ordinaryTimeoutMilliseconds: 60_000,
    releaseTimeoutMilliseconds: 30_000,
    startTimeoutMilliseconds: 60_000,
} as const;
