/** How a connection to an endpoint failed. */
export enum ConnectionFailureKind {
    /** The endpoint did not answer in time on an open connection. */
    AnswerTimeout = "AnswerTimeout",
    ConnectionLost = "ConnectionLost",
    /** The endpoint has reached its connection limit. */
    ConnectionRefused = "ConnectionRefused",
    /** A new connection could not be opened. */
    Unreachable = "Unreachable",
}
