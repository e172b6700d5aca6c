import { FailureCode } from "../statements/types/FailureCode.js";

/** Keyword of the wire protocol for each failure code. */
export const failureKeywords: Readonly<Record<FailureCode, string>> = {
    [FailureCode.Busy]: "BUSY",
    [FailureCode.Aborted]: "ABORTED",
    [FailureCode.Lagging]: "LAGGING",
    [FailureCode.ReadOnly]: "READONLY",
    [FailureCode.Misrouted]: "MISROUTED",
    [FailureCode.ConnectionLimit]: "CONNLIMIT",
    [FailureCode.OutcomeUnknown]: "INDOUBT",
    [FailureCode.Timeout]: "TIMEOUT",
    [FailureCode.Failed]: "FAILED",
    [FailureCode.Malformed]: "MALFORMED",
    [FailureCode.UnknownDatabase]: "NODB",
    [FailureCode.UnknownKey]: "AUTHFAIL",
    [FailureCode.UnknownPreparedStatement]: "NOSTMT",
};
