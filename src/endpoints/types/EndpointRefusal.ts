/** Why an endpoint refused a call; in `details.refusal` of an `EndpointRefused` error. The call did not run. */
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
