/** Reasons for which an endpoint refuses a call (`details.refusal` of an `EndpointRefused` error); it did not run. */
export enum EndpointRefusal {
    Behind = "Behind",
    Cancelled = "Cancelled",
    ConnectionLimit = "ConnectionLimit",
    Leaving = "Leaving",
    NoTransaction = "NoTransaction",
    NotPrimary = "NotPrimary",
    StatementInvalid = "StatementInvalid",
    WrongTerm = "WrongTerm",
}
