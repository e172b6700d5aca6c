/** Constants of the stand-ins. */
export const standInConstants = {
    replicationHeartbeatMilliseconds: 50,
    /** Silence after which a replica opens a new connection to its primary. */
    replicationSilenceMilliseconds: 500,
    replicationRetryMilliseconds: 50,
    replicationConnectTimeoutMilliseconds: 500,
    replicationBatchEntries: 256,
    maximumFrameBytes: 8 * 1024 * 1024,
    maximumObjectBytes: 1024 * 1024,
    maximumListedObjects: 1_000,
    /** Interval at which a waiting watch shows that it is alive. */
    watchHeartbeatMilliseconds: 500,
} as const;
