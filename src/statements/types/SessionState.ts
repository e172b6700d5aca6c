/** State of a session after an answer. */
export enum SessionState {
    Idle = "Idle",
    InTransaction = "InTransaction",
    /** The transaction failed; a commit or rollback rolls it back. */
    FailedTransaction = "FailedTransaction",
}
