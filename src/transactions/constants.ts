/** Constants of interactive transactions. */
export const transactionConstants = {
    /** A transaction without a statement for this time is rolled back. */
    idleMilliseconds: 5_000,
    /** Greatest time from begin to end, whatever the caller asks for. */
    totalMilliseconds: 60_000,
    rollbackTimeoutMilliseconds: 500,
    identifierBytes: 18,
    /** Ended transactions whose last reply is remembered. */
    rememberedTransactions: 10_000,
} as const;
