/** Kinds of commands that callers send. */
export enum CallerCommandKind {
    /** Opens the session. */
    Open = "Open",
    Run = "Run",
    /** Ends the session. */
    Close = "Close",
    /** The command could not be decoded. */
    Unreadable = "Unreadable",
    /** What the caller sent next was discarded for want of memory. */
    Discarded = "Discarded",
}
