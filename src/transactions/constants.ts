/** Constants of interactive transactions. */
export const transactionConstants = {
    /** A transaction without a statement for this time is rolled back. */
    idleTimeoutMilliseconds: 5_000,
    /** Greatest time from begin to end, regardless of the caller's deadline. */
    maximumDurationMilliseconds: 60_000,
    rollbackTimeoutMilliseconds: 500,
    identifierBytes: 18,
    /** Number of ended transactions whose last reply is kept. */
    maximumTrackedTransactions: 10_000,
} as const;
