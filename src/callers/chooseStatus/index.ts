import type { CallerReply } from "../../execution/types/CallerReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";

const statusByReason: Partial<Record<NotRunReason, number>> = {
    [NotRunReason.InvalidRequest]: 400,
    [NotRunReason.InvalidToken]: 400,
    [NotRunReason.StatementRefused]: 400,
    [NotRunReason.Unauthorized]: 401,
    [NotRunReason.Forbidden]: 403,
    [NotRunReason.UnknownDatabase]: 404,
    [NotRunReason.Cancelled]: 409,
    [NotRunReason.TransactionOver]: 409,
    [NotRunReason.Overloaded]: 429,
};
const statusOfOtherRefusals = 503;
const statusByOutcome: Partial<Record<OutcomeKind, number>> = {
    [OutcomeKind.Answer]: 200,
    [OutcomeKind.OutcomeUnknown]: 504,
};

/**
 * Chooses the HTTP status of a reply.
 *
 * @param reply The reply to the caller.
 * @returns The HTTP status code.
 *
 * @example
 * void response.status(chooseStatus(reply)).send(reply);
 */
export function chooseStatus(reply: CallerReply): number {
    if (reply.outcome === OutcomeKind.NotRun) {
        return statusByReason[reply.reason] ?? statusOfOtherRefusals;
    }
    return statusByOutcome[reply.outcome] ?? statusOfOtherRefusals;
}
