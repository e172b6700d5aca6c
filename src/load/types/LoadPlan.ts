/** What load is offered. Shares are between 0 and 1. */
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
    /** Share of reads that accept data of an age. */
    readonly agedShare: number;
    readonly maximumAgeMilliseconds: number;
    /** Share of reads whose caller has lost its token. */
    readonly lostTokenShare: number;
    /** Share of operations before which the session moves to another entry. */
    readonly roamShare: number;
    /** Lists, and as many pairs, of each caller in each database. */
    readonly listCount: number;
    readonly deadlineMilliseconds: number;
    /** Mean pause between two operations of a session. */
    readonly pauseMilliseconds: number;
    /** One-way delay between callers and entries. */
    readonly callerDelayMilliseconds: number;
}
