/** Constants of the connections between processes. */
export const transportConstants = {
    protocolVersion: 1,
    /** Interval at which a connection is checked for silence. */
    heartbeatIntervalMilliseconds: 250,
    /** Heartbeat intervals between two pings of a connection without pending calls. */
    intervalsBetweenIdlePings: 4,
    /** Unanswered pings after which the connection is closed when the next ping is due. */
    maximumUnansweredPings: 2,
    /** Time since the last call after which a connection without pending calls is closed. */
    idleTimeoutMilliseconds: 5_000,
    connectTimeoutMilliseconds: 1_000,
    maximumFrameBytes: 8 * 1024 * 1024,
} as const;
