/** How a request ended. */
export enum OutcomeKind {
    /** The statement ran; the result is complete. */
    Answer = "Answer",
    /** The statement did not run and never will. */
    NotRun = "NotRun",
    /** The statement may or may not have run, or may still run. */
    OutcomeUnknown = "OutcomeUnknown",
}
