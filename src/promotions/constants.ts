/** Constants of changes of the primary. */
export const promotionConstants = {
    /** Interval at which the holder checks each group, in milliseconds. */
    lookMilliseconds: 100,
    /** A primary that answered this recently is not queried, in milliseconds. */
    freshAnswerMilliseconds: 300,
    /** Timeout of a query or an order to an endpoint, in milliseconds. */
    questionMilliseconds: 400,
    /** Time without a known primary after which an endpoint of the group is promoted, in milliseconds. */
    missingMilliseconds: 1_000,
    /** Time that open transactions have to end before a planned change, in milliseconds. */
    drainMilliseconds: 250,
    /** Time that the successor has to receive the end of the primary's log, in milliseconds. */
    catchUpMilliseconds: 800,
    /** Polling interval while waiting for a condition, in milliseconds. */
    pollMilliseconds: 25,
    /** Timeout of an order to promote, in milliseconds. */
    orderMilliseconds: 2_000,
    /** No promotion is ordered when the verification before it took longer than this, in milliseconds. */
    verifiedMilliseconds: 500,
    /** Time that the promoted endpoint has to become the primary, in milliseconds. */
    takeoverMilliseconds: 3_500,
    /** Pause before a failed change is attempted again, in milliseconds. */
    retryMilliseconds: 400,
    /** Time for which an unreachable superseded primary is repeatedly ordered to step down, in milliseconds. */
    stepDownMilliseconds: 10_000,
    /** Pause between two orders to a superseded primary to step down, in milliseconds. */
    stepDownPauseMilliseconds: 300,
} as const;
