/** Constants of changing primaries. */
export const promotionConstants = {
    /** How often the holder looks at each group, in milliseconds. */
    lookMilliseconds: 100,
    /** A primary that answered this recently is not asked, in milliseconds. */
    freshAnswerMilliseconds: 300,
    /** Time limit of a question to an endpoint, in milliseconds. */
    questionMilliseconds: 400,
    /** A group without a known primary is looked after when it stays so, in milliseconds. */
    missingMilliseconds: 1_000,
    /** Before a planned change, open transactions have this long to end, in milliseconds. */
    drainMilliseconds: 250,
    /** The successor has this long to receive the end of the log in a planned change, in milliseconds. */
    catchUpMilliseconds: 800,
    /** Pause between two questions while something is waited for, in milliseconds. */
    pollMilliseconds: 25,
    /** Time limit of an order to promote, in milliseconds. */
    orderMilliseconds: 2_000,
    /** An order that was verified longer ago than this is verified again, in milliseconds. */
    verifiedMilliseconds: 500,
    /** The promoted endpoint has this long to lead, in milliseconds. */
    takeoverMilliseconds: 3_500,
    /** Pause before a failed change is tried again, in milliseconds. */
    retryMilliseconds: 400,
    /** How long a superseded primary that was out of reach is told to step down, in milliseconds. */
    stepDownMilliseconds: 10_000,
    /** Pause between two tries to reach a superseded primary, in milliseconds. */
    stepDownPauseMilliseconds: 300,
} as const;
