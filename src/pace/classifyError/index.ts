import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { paceConstants } from "../constants.js";
import { StatementEnd } from "../types/StatementEnd.js";

const endByKind: Partial<Record<ErrorKind, StatementEnd>> = {
    [ErrorKind.ConnectionClosed]: StatementEnd.Failed,
    [ErrorKind.DeadlineExceeded]: StatementEnd.Silent,
    [ErrorKind.ConnectionLimitReached]: StatementEnd.Refused,
};

/**
 * Classifies the error of an exchange as evidence about the endpoint.
 *
 * @param error The error.
 * @param waitedMilliseconds Time from sending the statement to the error, in milliseconds.
 * @returns How the statement ended; a time limit that leaves an endpoint no time to answer says nothing about it.
 *
 * @example
 * classifyError(error, 600); // => StatementEnd.Silent
 */
export function classifyError(error: unknown, waitedMilliseconds: number): StatementEnd {
    const end = endByKind[toTypedError(error).kind] ?? StatementEnd.Neutral;
    const wasGivenTime = waitedMilliseconds >= paceConstants.silenceMilliseconds;
    return end === StatementEnd.Silent && !wasGivenTime ? StatementEnd.Neutral : end;
}
