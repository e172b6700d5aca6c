/** Constants of the transport between processes. */
export const transportConstants = {
    protocolVersion: 1,
    heartbeatMilliseconds: 250,
    /** Intervals between the pings of a connection on which nothing is waited for. */
    idleHeartbeatIntervals: 4,
    /** Unanswered pings after which the next one due closes the connection instead. */
    unansweredPings: 2,
    /** Time without a call after which a connection is closed. */
    idleMilliseconds: 5_000,
    connectTimeoutMilliseconds: 1_000,
    maximumFrameBytes: 8 * 1024 * 1024,
} as const;
