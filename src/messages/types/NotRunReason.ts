/** Why a request did not run. */
export enum NotRunReason {
    /** The replica has not reached the least position within the bounded wait. */
    Behind = "Behind",
    Cancelled = "Cancelled",
    DeadlineExceeded = "DeadlineExceeded",
    /** The endpoint was removed, is unreachable, or refuses connections. */
    EndpointUnavailable = "EndpointUnavailable",
    Forbidden = "Forbidden",
    InvalidRequest = "InvalidRequest",
    InvalidToken = "InvalidToken",
    /** The endpoint is leaving and accepts no new work. */
    Leaving = "Leaving",
    /** No primary of a confirmed term is known or reachable. */
    NoPrimary = "NoPrimary",
    Overloaded = "Overloaded",
    /** The endpoint itself refused the statement as invalid. */
    StatementRefused = "StatementRefused",
    /** The gateway or entry is stopping. */
    Stopping = "Stopping",
    /** No data is proved to be within the age that the caller accepts. */
    TooOld = "TooOld",
    TransactionOver = "TransactionOver",
    Unauthorized = "Unauthorized",
    UnknownDatabase = "UnknownDatabase",
    /** The endpoint follows another term than the request was routed under. */
    WrongTerm = "WrongTerm",
}
