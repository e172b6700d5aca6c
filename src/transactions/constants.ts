/** Constants of interactive transactions. */
export const transactionConstants = {
    /** A transaction without a statement for this time is rolled back. */
    idleMilliseconds: 5_000,
    /** Greatest time from begin to end, regardless of the caller's deadline. */
    totalMilliseconds: 60_000,
    rollbackTimeoutMilliseconds: 500,
    identifierBytes: 18,
    /** Number of ended transactions whose last reply is kept. */
    rememberedTransactions: 10_000,
} as const;
