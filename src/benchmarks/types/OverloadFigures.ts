/** What one run of the overload measurement gave. */
export interface OverloadFigures {
    readonly isLimiting: boolean;
    /** Offered load as a multiple of what the slots can serve. */
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
    /** Time after which a refused request learned of it. */
    readonly refusalP50Milliseconds: number;
}
