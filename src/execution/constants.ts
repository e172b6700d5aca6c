/** Constants of request execution at an entry. */
export const executionConstants = {
    /** Kept from the time left, so that the answer reaches the caller within its deadline. */
    replyMarginMilliseconds: 10,
    firstRetryDelayMilliseconds: 10,
    longestRetryDelayMilliseconds: 250,
    /** A read is tried elsewhere after this long without an answer; doubled with each round. */
    readAttemptMilliseconds: 250,
    /** Owners of one endpoint that one attempt tries. */
    ownersPerAttempt: 2,
    /** Given to abort signals, which otherwise build an exception with its stack. */
    abandonedReason: "the time is over",
    purposeOfTransactionHandle: "transaction handle",
} as const;
