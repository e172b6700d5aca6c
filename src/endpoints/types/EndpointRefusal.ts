/** Reasons of an endpoint for refusing a call, which did not run; in `details.refusal` of an `EndpointRefused` error. */
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
