/** How one attempt to run a statement ended. */
export enum StatementOutcomeKind {
    Answered = "Answered",
    /** The endpoint refused it; it did not run. */
    Refused = "Refused",
    /** No connection was to be had; nothing was sent. */
    NotSent = "NotSent",
    /** It was sent and the answer was lost; it may have run or still run. */
    Lost = "Lost",
}
