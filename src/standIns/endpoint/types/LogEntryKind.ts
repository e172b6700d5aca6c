/** Kinds of entries in an endpoint's log. */
export enum LogEntryKind {
    Write = "Write",
    /** The first entry of a new primary's term, without operations. */
    Marker = "Marker",
    /** Prevents the write with its request key from running later. */
    Cancellation = "Cancellation",
}
