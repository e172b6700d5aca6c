/** Constants of confirmation. */
export const confirmationConstants = {
    connectTimeoutMilliseconds: 1_000,
    /** A status that does not come within this time closes the connection of the watch, which is opened again. */
    statusTimeoutMilliseconds: 1_000,
    firstReconnectMilliseconds: 20,
    greatestReconnectMilliseconds: 1_000,
    /** A watch that this gateway's ownership does not call for ends after this time without use. */
    unusedMilliseconds: 30_000,
    upkeepMilliseconds: 5_000,
} as const;
