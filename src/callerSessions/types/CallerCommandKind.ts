/** Kinds of commands that callers send. */
export enum CallerCommandKind {
    /** Opens the session. */
    Open = "Open",
    Run = "Run",
    /** Ends the session. */
    Leave = "Leave",
    /** What was sent cannot be read. */
    Unreadable = "Unreadable",
}
