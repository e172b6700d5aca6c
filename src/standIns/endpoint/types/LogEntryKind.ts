/** Kinds of entries in an endpoint's log. */
export enum LogEntryKind {
    Write = "Write",
    /** The first entry of a new primary's term, without effect. */
    Marker = "Marker",
    /** Keeps the write of its request key from ever running. */
    Cancellation = "Cancellation",
}
