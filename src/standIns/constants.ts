/** Constants of the stand-ins. */
export const standInConstants = {
    replicationHeartbeatMilliseconds: 50,
    /** Time without a frame from the primary after which a replica opens a new connection to it. */
    replicationTimeoutMilliseconds: 500,
    replicationRetryMilliseconds: 50,
    replicationConnectTimeoutMilliseconds: 500,
    replicationBatchEntries: 256,
    maximumFrameBytes: 8 * 1024 * 1024,
    maximumObjectBytes: 1024 * 1024,
    maximumListedObjects: 1_000,
    /** Interval of the empty lines which show that a watch without changes is alive. */
    watchHeartbeatMilliseconds: 500,
} as const;
