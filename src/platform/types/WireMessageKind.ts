/** Kinds of messages of the wire protocol. */
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
