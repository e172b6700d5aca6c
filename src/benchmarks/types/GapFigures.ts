/** Write gaps over several failures. */
export interface GapFigures {
    readonly count: number;
    readonly medianMilliseconds: number;
    readonly p99Milliseconds: number;
    readonly longestMilliseconds: number;
}
