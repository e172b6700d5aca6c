import { EndpointRefusal } from "../../endpoints/types/EndpointRefusal.js";
import type { StatementAnswer } from "../../endpoints/types/StatementAnswer.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { confirmAnswer } from "../../requests/confirmAnswer/index.js";
import { requestConstants } from "../../requests/constants.js";
import { createUnknownOutcome } from "../../requests/createUnknownOutcome/index.js";
import { resolveRequestKey } from "../../requests/resolveRequestKey/index.js";
import { toNotRun } from "../../requests/toNotRun/index.js";
import type { RequestServices } from "../../requests/types/RequestServices.js";
import type { OpenTransaction } from "../types/OpenTransaction.js";

/**
 * Commits a transaction; the commit is acknowledged only when a majority of the group holds it in its term.
 *
 * The commit is sent once. When its answer is lost, the outcome is resolved by the transaction's request key, if it
 * has one; otherwise it is unknown.
 *
 * @param services The services of the gateway.
 * @param transaction The transaction; ended by this call.
 * @param deadlineAt Time of the monotonic clock by which the reply is due.
 * @returns The reply; this function does not fail.
 *
 * @example
 * const reply = await commitTransaction(services, transaction, deadlineAt);
 */
export async function commitTransaction(
    services: RequestServices,
    transaction: OpenTransaction,
    deadlineAt: number,
): Promise<EndpointReply> {
    const { clock } = services;
    const { begin, acquiredConnection, slot } = transaction;
    const { database, term, requestKey } = begin;
    const timeLeft = deadlineAt - clock.now();
    if (timeLeft < requestConstants.minimumAttemptMilliseconds) {
        const message = "No time was left to commit; the transaction was rolled back. Run it again from its beginning.";
        return createNotRun(NotRunReason.TransactionOver, message);
    }
    let answer: StatementAnswer;
    try {
        const timeShare = requestKey === undefined ? 1 : requestConstants.attemptShare;
        answer = await acquiredConnection.connection.commit(requestKey, timeShare * timeLeft);
    }
    catch (error) {
        const typed = toTypedError(error);
        const isRefused = typed.kind === ErrorKind.EndpointRefused;
        if (isRefused && typed.details.refusal !== EndpointRefusal.Cancelled) {
            return toNotRun(typed, term);
        }
        if (!isRefused) {
            acquiredConnection.discard(error);
        }
        return requestKey === undefined
            ? createUnknownOutcome(typed.message)
            : await resolveRequestKey(services, { ...begin, requestKey }, { slot, deadlineAt });
    }
    acquiredConnection.release();
    slot.release();
    const { result, position } = answer;
    const reply: EndpointReply = { outcome: OutcomeKind.Answer, result, term, position, queueLength: 0 };
    return await confirmAnswer(services, { database, term, position, deadlineAt }, reply);
}
