/** Why a statement failed. */
export enum FailureCode {
    /** No slot was free; the statement did not run. */
    Busy = "Busy",
    /** The transaction was rolled back; nothing of it is kept. */
    Aborted = "Aborted",
    /** The endpoint lacks the position that was asked for; the statement did not run. */
    Lagging = "Lagging",
    /** The endpoint is not the primary; the statement did not run. */
    ReadOnly = "ReadOnly",
    /** The endpoint is another one than expected; the statement did not run. */
    Misrouted = "Misrouted",
    /** Too many connections are open; the statement did not run. */
    ConnectionLimit = "ConnectionLimit",
    /** The statement was sent and its answer was lost. */
    OutcomeUnknown = "OutcomeUnknown",
    /** The time limit passed; the statement may have run. */
    Timeout = "Timeout",
    /** The endpoint ran the statement and it failed. */
    Failed = "Failed",
    /** The statement cannot be read or does not fit the session's state. */
    Malformed = "Malformed",
    /** No route leads to a database of that name. */
    UnknownDatabase = "UnknownDatabase",
    /** No statement was prepared under that name. */
    UnknownPreparedStatement = "UnknownPreparedStatement",
}
