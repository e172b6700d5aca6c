import { EndpointRefusal } from "../../endpoints/types/EndpointRefusal.js";
import type { StatementAnswer } from "../../endpoints/types/StatementAnswer.js";
import type { TypedError } from "../../errors/types/TypedError.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { EndpointRequest } from "../../messages/types/EndpointRequest.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { confirmAnswer } from "../confirmAnswer/index.js";
import { createUnknownOutcome } from "../createUnknownOutcome/index.js";
import { listAttemptTimeouts } from "../listAttemptTimeouts/index.js";
import { resolveRequestKey } from "../resolveRequestKey/index.js";
import { runStatement } from "../runStatement/index.js";
import { toNotRun } from "../toNotRun/index.js";
import type { AdmittedWork } from "../types/AdmittedWork.js";
import { AttemptOutcomeKind } from "../types/AttemptOutcomeKind.js";
import type { RequestServices } from "../types/RequestServices.js";

/**
 * Runs a write at the primary of the term it was routed under, at most once.
 *
 * The write is acknowledged only when a majority of the group holds it in that term. Without a request key it is sent
 * once. With one, it is retried under the same key when the answer was lost; after the last attempt, the outcome is
 * resolved by the key.
 *
 * @param services The services of the gateway.
 * @param request The request.
 * @param work The request's slot and deadline.
 * @returns The reply; this function does not fail.
 *
 * @example
 * const reply = await executeWriteAtEndpoint(services, request, { slot, deadlineAt });
 */
export async function executeWriteAtEndpoint(
    services: RequestServices,
    request: EndpointRequest,
    work: AdmittedWork,
): Promise<EndpointReply> {
    const { database, endpoint, term, requestKey } = request;
    const isRepeatable = requestKey !== undefined;
    let lastError: TypedError | undefined;
    let mayHaveRun = false;
    for (const timeoutMilliseconds of listAttemptTimeouts(services.clock, work.deadlineAt, isRepeatable)) {
        if (mayHaveRun && !services.retryBudget.tryConsumeRetry(endpoint)) {
            break;
        }
        const outcome = await runStatement(
            services,
            { database, endpoint, timeoutMilliseconds },
            (connection, timeLeft) =>
                connection.execute({
                    statement: request.statement,
                    isWrite: true,
                    term,
                    leastPosition: request.leastPosition,
                    waitMilliseconds: Math.min(request.waitMilliseconds, timeLeft),
                    requestKey,
                    timeoutMilliseconds: timeLeft,
                }),
        );
        if (outcome.kind === AttemptOutcomeKind.Answered) {
            work.slot.release();
            return await acknowledge(services, request, work, outcome.answer);
        }
        lastError = outcome.error;
        if (outcome.kind === AttemptOutcomeKind.Refused) {
            // The row that cancelled the write may not be confirmed yet.
            mayHaveRun ||= lastError.details.refusal === EndpointRefusal.Cancelled;
            break;
        }
        if (outcome.kind === AttemptOutcomeKind.NotSent && !mayHaveRun) {
            break;
        }
        mayHaveRun ||= outcome.kind === AttemptOutcomeKind.Lost;
    }
    if (lastError === undefined) {
        return createNotRun(NotRunReason.DeadlineExceeded, "No time was left. Send the request with a later deadline.");
    }
    if (!mayHaveRun) {
        return toNotRun(lastError, term);
    }
    return isRepeatable
        ? await resolveRequestKey(services, { ...request, requestKey }, work)
        : createUnknownOutcome(lastError.message);
}

async function acknowledge(
    services: RequestServices,
    request: EndpointRequest,
    work: AdmittedWork,
    answer: StatementAnswer,
): Promise<EndpointReply> {
    const { database, endpoint, term } = request;
    const { position, result } = answer;
    if (answer.term !== term && !answer.isRepeated) {
        return createUnknownOutcome(`Endpoint ${endpoint} answered under term ${answer.term} instead of ${term}.`);
    }
    const queueLength = services.admission.queueOf(database, endpoint).countWaiting();
    return await confirmAnswer(services, { database, term, position, deadlineAt: work.deadlineAt }, {
        outcome: OutcomeKind.Answer,
        result,
        term,
        position,
        queueLength,
    });
}
