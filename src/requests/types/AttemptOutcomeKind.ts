/** How one attempt to run a statement ended. */
export enum AttemptOutcomeKind {
    Answered = "Answered",
    /** The endpoint refused the statement; it did not run. */
    Refused = "Refused",
    /** No connection was available in time; nothing was sent. */
    NotSent = "NotSent",
    /** The statement was sent and the answer was lost; it may have run or may still run. */
    Lost = "Lost",
}
