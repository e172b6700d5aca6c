import type { StatementAnswer } from "../../endpoints/types/StatementAnswer.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { EndpointRequest } from "../../messages/types/EndpointRequest.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { confirmAnswer } from "../confirmAnswer/index.js";
import { createUnknownOutcome } from "../createUnknownOutcome/index.js";
import { listAttemptTimeouts } from "../listAttemptTimeouts/index.js";
import { runStatement } from "../runStatement/index.js";
import { toNotRun } from "../toNotRun/index.js";
import type { AdmittedWork } from "../types/AdmittedWork.js";
import { AttemptOutcomeKind } from "../types/AttemptOutcomeKind.js";
import type { RequestServices } from "../types/RequestServices.js";

/**
 * Runs a read at an endpoint that has applied the least position.
 *
 * A read whose answer was lost is retried on another connection. An answer of a primary is held back until its
 * position is confirmed, since a failover can discard entries that no replica has. Entries that a replica of the term
 * has applied are confirmed already.
 *
 * @param services The services of the gateway.
 * @param request The request.
 * @param work The request's slot and deadline.
 * @returns The reply; this function does not fail.
 *
 * @example
 * const reply = await executeReadAtEndpoint(services, request, { slot, deadlineAt });
 */
export async function executeReadAtEndpoint(
    services: RequestServices,
    request: EndpointRequest,
    work: AdmittedWork,
): Promise<EndpointReply> {
    const { database, endpoint, term } = request;
    let cause = "The deadline passed.";
    let wasSent = false;
    for (const timeoutMilliseconds of listAttemptTimeouts(services.clock, work.deadlineAt, true)) {
        if (wasSent && !services.retryBudget.tryConsumeRetry(endpoint)) {
            break;
        }
        const outcome = await runStatement(
            services,
            { database, endpoint, timeoutMilliseconds },
            (connection, timeLeft) =>
                connection.execute({
                    statement: request.statement,
                    isWrite: false,
                    term,
                    leastPosition: request.leastPosition,
                    waitMilliseconds: Math.min(request.waitMilliseconds, timeLeft),
                    timeoutMilliseconds: timeLeft,
                }),
        );
        if (outcome.kind === AttemptOutcomeKind.Answered) {
            work.slot.release();
            return await confirmPrimaryAnswer(services, request, work, outcome.answer);
        }
        if (outcome.kind !== AttemptOutcomeKind.Lost && !wasSent) {
            return toNotRun(outcome.error, term);
        }
        wasSent = true;
        cause = outcome.error.message;
    }
    return createUnknownOutcome(cause);
}

async function confirmPrimaryAnswer(
    services: RequestServices,
    request: EndpointRequest,
    work: AdmittedWork,
    answer: StatementAnswer,
): Promise<EndpointReply> {
    const { database, endpoint, term } = request;
    const { position, result } = answer;
    const queueLength = services.admission.queueOf(database, endpoint).countWaiting();
    const reply: EndpointReply = { outcome: OutcomeKind.Answer, result, term: answer.term, position, queueLength };
    const group = services.topology.groupOf(database);
    const isReplica = group?.term === term && group.primary !== endpoint;
    return isReplica || !services.confirmsPrimaryReads
        ? reply
        : await confirmAnswer(services, { database, term, position, deadlineAt: work.deadlineAt }, reply);
}
