/** Constants of request execution at an entry. */
export const executionConstants = {
    /** Subtracted from the time left, so that the answer reaches the caller within its deadline. */
    replyMarginMilliseconds: 10,
    initialRetryDelayMilliseconds: 10,
    maximumRetryDelayMilliseconds: 250,
    /** A read without an answer for this long is sent to another endpoint; doubled with each attempt. */
    readAttemptMilliseconds: 250,
    /** Greatest number of an endpoint's owners that one attempt sends a request to. */
    ownersPerAttempt: 2,
    /** Reason given to abort signals, which otherwise create an exception with a stack trace. */
    abortReason: "the deadline has expired",
    purposeOfTransactionHandle: "transaction handle",
} as const;
