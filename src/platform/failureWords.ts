import { FailureCode } from "../statements/types/FailureCode.js";

/** The wire's word for each failure. */
export const failureWords: Readonly<Record<FailureCode, string>> = {
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
    [FailureCode.UnknownPreparedStatement]: "NOSTMT",
};
