/** Figures of one run of the overload measurement. */
export interface OverloadFigures {
    readonly isLimiting: boolean;
    /** Offered load as a multiple of the capacity of the slots. */
    readonly loadFactor: number;
    readonly offeredPerSecond: number;
    /** Requests of the greedy caller answered within their deadline. */
    readonly goodputPerSecond: number;
    /** Share of the quiet caller's requests answered within their deadline. */
    readonly quietAnsweredShare: number;
    readonly refusedShare: number;
    /** Share of requests that were sent and ended without an answer. */
    readonly lostShare: number;
    readonly answerP50Milliseconds: number;
    readonly answerP99Milliseconds: number;
    /** Median time until a refusal was returned. */
    readonly refusalP50Milliseconds: number;
}
