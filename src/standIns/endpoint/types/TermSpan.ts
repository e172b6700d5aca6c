/** A contiguous run of log entries of one term. */
export interface TermSpan {
    readonly term: number;
    readonly lastPosition: number;
}
