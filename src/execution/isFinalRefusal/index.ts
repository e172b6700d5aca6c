import { NotRunReason } from "../../messages/types/NotRunReason.js";

const finalReasons: ReadonlySet<NotRunReason> = new Set([
    NotRunReason.Cancelled,
    NotRunReason.Forbidden,
    NotRunReason.InvalidRequest,
    NotRunReason.InvalidToken,
    NotRunReason.Overloaded,
    NotRunReason.StatementRefused,
    NotRunReason.TransactionOver,
    NotRunReason.Unauthorized,
    NotRunReason.UnknownDatabase,
]);

/**
 * Checks whether another attempt would be refused for the same reason, or would add to an overload.
 *
 * @param reason Why the request did not run.
 * @returns True when the refusal is to be passed on to the caller.
 *
 * @example
 * if (isFinalRefusal(reply.reason)) { return reply; }
 */
export function isFinalRefusal(reason: NotRunReason): boolean {
    return finalReasons.has(reason);
}
