/** Kinds of statements that callers send. */
export enum StatementKind {
    Begin = "Begin",
    Commit = "Commit",
    Rollback = "Rollback",
    Read = "Read",
    Write = "Write",
    SetValue = "SetValue",
    Prepare = "Prepare",
    Execute = "Execute",
    ClosePrepared = "ClosePrepared",
    /** The text cannot be parsed. */
    Unreadable = "Unreadable",
}
