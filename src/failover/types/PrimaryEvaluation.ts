/** Conclusion from the evidence about a suspected primary. */
export enum PrimaryEvaluation {
    Serving = "Serving",
    Failed = "Failed",
    /** More evidence or time is needed. */
    Undecided = "Undecided",
}
