/** Kinds of messages on the wire. */
export enum WireMessageKind {
    Startup = "Startup",
    Query = "Query",
    Row = "Row",
    Complete = "Complete",
    Error = "Error",
    Ready = "Ready",
    Terminate = "Terminate",
    Unreadable = "Unreadable",
}
