/** Constants of the reservation of terms. */
export const termConstants = {
    /** Terms that one reservation takes for one database. */
    termsPerReservation: 16,
    /** Objects of the store over which the databases are spread. */
    buckets: 64,
    keyPrefix: "terms/",
    /** How long reservations are gathered before one update is made for them. */
    batchDelayMilliseconds: 5,
    retryAttempts: 12,
    firstRetryDelayMilliseconds: 10,
    longestRetryDelayMilliseconds: 1_000,
} as const;
