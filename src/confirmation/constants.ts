/** Constants of confirmation. */
export const confirmationConstants = {
    connectTimeoutMilliseconds: 1_000,
    firstReconnectMilliseconds: 20,
    greatestReconnectMilliseconds: 1_000,
    /** A watch that this gateway's ownership does not call for ends after this time without use. */
    unusedMilliseconds: 30_000,
    upkeepMilliseconds: 5_000,
} as const;
