/** Constants of the transport between processes. */
export const transportConstants = {
    protocolVersion: 1,
    heartbeatMilliseconds: 250,
    /** Silent heartbeats after which a connection is closed. */
    silentHeartbeats: 3,
    /** Time without a call after which a connection is closed. */
    idleMilliseconds: 5_000,
    connectTimeoutMilliseconds: 1_000,
    maximumFrameBytes: 8 * 1024 * 1024,
} as const;
