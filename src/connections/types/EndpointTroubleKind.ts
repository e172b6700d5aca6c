/** What went wrong with an endpoint's connections. */
export enum EndpointTroubleKind {
    /** An answer did not come in time on an open connection. */
    AnswerTimeout = "AnswerTimeout",
    ConnectionLost = "ConnectionLost",
    /** The endpoint accepts no further connection. */
    ConnectionRefused = "ConnectionRefused",
    /** A fresh connection could not be opened. */
    Unreachable = "Unreachable",
}
