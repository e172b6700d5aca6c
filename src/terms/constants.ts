/** Constants of the reservation of terms. */
export const termConstants = {
    /** Number of terms that one reservation reserves for one database. */
    termsPerReservation: 16,
    /** Number of objects in the store over which the databases are distributed. */
    bucketCount: 64,
    keyPrefix: "terms/",
    /** Time for which reservations are collected into one update of the store. */
    batchDelayMilliseconds: 5,
    retryAttempts: 12,
    initialRetryDelayMilliseconds: 10,
    maximumRetryDelayMilliseconds: 1_000,
} as const;
