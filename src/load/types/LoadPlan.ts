/** Plan of the load that is offered. Shares are between 0 and 1. */
export interface LoadPlan {
    readonly seed: number;
    readonly sessionCount: number;
    readonly durationMilliseconds: number;
    /** Share of operations that write. */
    readonly writeShare: number;
    /** Share of writes that are transactions over a pair of lists. */
    readonly transactionShare: number;
    /** Share of writes without a request key. */
    readonly keylessShare: number;
    /** Share of bounded-staleness reads among reads. */
    readonly agedShare: number;
    readonly maximumAgeMilliseconds: number;
    /** Share of reads without the session token, as if the caller had lost it. */
    readonly lostTokenShare: number;
    /** Share of operations before which the session moves to another entry. */
    readonly roamShare: number;
    /** Number of lists, and of pairs, of each caller in each database. */
    readonly listCount: number;
    readonly deadlineMilliseconds: number;
    /** Mean pause between two operations of a session. */
    readonly pauseMilliseconds: number;
    /** One-way delay between callers and entries. */
    readonly callerDelayMilliseconds: number;
}
