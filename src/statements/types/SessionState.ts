/** State of a session as it stands after an answer. */
export enum SessionState {
    Idle = "Idle",
    InTransaction = "InTransaction",
    /** The transaction failed; ending it rolls it back. */
    FailedTransaction = "FailedTransaction",
}
