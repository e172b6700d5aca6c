/** What the evidence says about a suspected primary. */
export enum PrimaryJudgement {
    Serving = "Serving",
    Failed = "Failed",
    /** More evidence or time is needed. */
    Undecided = "Undecided",
}
