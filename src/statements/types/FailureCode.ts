/** Reasons why a statement failed. */
export enum FailureCode {
    /** No slot, connection or verified primary was available; the statement did not run. */
    Busy = "Busy",
    /** The transaction was rolled back; nothing of it is kept. */
    Aborted = "Aborted",
    /** The endpoint has not received the required log position; the statement did not run. */
    Lagging = "Lagging",
    /** The endpoint is not the primary; the statement did not run. */
    ReadOnly = "ReadOnly",
    /** The statement reached a different endpoint than intended; it did not run. */
    Misrouted = "Misrouted",
    /** Too many connections are open; the statement did not run. */
    ConnectionLimit = "ConnectionLimit",
    /** The statement was sent and its answer was lost. */
    OutcomeUnknown = "OutcomeUnknown",
    /** The time limit passed; the statement may have run. */
    Timeout = "Timeout",
    /** The endpoint ran the statement and it failed. */
    Failed = "Failed",
    /** The statement cannot be parsed or is not allowed in the session's state. */
    Malformed = "Malformed",
    /** No route exists for a database of that name. */
    UnknownDatabase = "UnknownDatabase",
    /** No workspace holds the key of the caller, or no longer; the statement did not run. */
    UnknownKey = "UnknownKey",
    /** No statement was prepared under that name. */
    UnknownPreparedStatement = "UnknownPreparedStatement",
}
