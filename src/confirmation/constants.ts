/** Constants of confirmation. */
export const confirmationConstants = {
    connectTimeoutMilliseconds: 1_000,
    /** A watch's connection is closed and opened again when a requested status does not arrive within this time. */
    statusTimeoutMilliseconds: 1_000,
    initialReconnectDelayMilliseconds: 20,
    maximumReconnectDelayMilliseconds: 1_000,
    /** The watch of a group whose primary this gateway does not own ends after this time without use. */
    unusedTimeoutMilliseconds: 30_000,
    upkeepIntervalMilliseconds: 5_000,
} as const;
