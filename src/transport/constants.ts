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
    /** Connections of peers that have not proven themselves; a new one takes the place of the oldest. */
    maximumStrangers: 128,
    /** Bytes that such a peer may send. */
    strangerBytes: 65_536,
    /** Time within which a peer has to prove itself after connecting, in milliseconds. */
    proofTimeoutMilliseconds: 5_000,
    maximumFrameBytes: 8 * 1024 * 1024,
    /** HTTP status of an answer to a request that is no WebSocket handshake. */
    upgradeRequiredStatus: 426,
    /** Close code, of the WebSocket protocol, of a server that stops; it has run no call that it has not answered. */
    goingAwayCloseCode: 1_001,
    /** Time in which a server that stops answers the calls that it has accepted. */
    stopTimeoutMilliseconds: 1_000,
} as const;
