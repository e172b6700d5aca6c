import type { StatementAnswer } from "../../endpoints/types/StatementAnswer.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { confirmAnswer } from "../confirmAnswer/index.js";
import { createUnknownOutcome } from "../createUnknownOutcome/index.js";
import { listAttemptTimeouts } from "../listAttemptTimeouts/index.js";
import { runStatement } from "../runStatement/index.js";
import type { AdmittedWork } from "../types/AdmittedWork.js";
import { AttemptOutcomeKind } from "../types/AttemptOutcomeKind.js";
import type { RequestKeyLookUp } from "../types/RequestKeyLookUp.js";
import type { RequestServices } from "../types/RequestServices.js";

/**
 * Resolves the outcome of a request key: returns the recorded outcome, or cancels the key so that it never runs.
 *
 * A row that cancels the request is inserted under the key at the primary of the term. If the insertion succeeds, an
 * original request that arrives later finds the row and does not run; if an outcome is already recorded, it is the
 * answer. Either result is returned only once it is confirmed.
 *
 * @param services The services of the gateway.
 * @param lookUp Database, primary, term and request key.
 * @param work The slot and deadline of the request.
 * @returns The recorded answer, `NotRun` with reason `Cancelled`, or `OutcomeUnknown`.
 *
 * @example
 * return await resolveRequestKey(services, { ...request, requestKey }, work);
 */
export async function resolveRequestKey(
    services: RequestServices,
    lookUp: Omit<RequestKeyLookUp, "caller" | "timeLeftMilliseconds">,
    work: AdmittedWork,
): Promise<EndpointReply> {
    const { database, endpoint, term, requestKey } = lookUp;
    let cause = "No time was left to look up the request key.";
    for (const timeoutMilliseconds of listAttemptTimeouts(services.clock, work.deadlineAt, true)) {
        let wasCancelled = false;
        const outcome = await runStatement(
            services,
            { database, endpoint, timeoutMilliseconds },
            async (connection, timeLeft) => {
                const answer = await connection.cancelRequestKey(requestKey, term, timeLeft);
                wasCancelled = "cancelledAt" in answer;
                return "cancelledAt" in answer ? createCancellation(answer.cancelledAt, term) : answer;
            },
        );
        if (outcome.kind === AttemptOutcomeKind.Answered) {
            work.slot.release();
            const { position, result } = outcome.answer;
            const queueLength = services.admission.queueOf(database, endpoint).countWaiting();
            const reply: EndpointReply = wasCancelled
                ? createNotRun(
                    NotRunReason.Cancelled,
                    "The request had not run and was cancelled. Send it again under a new request key.",
                )
                : { outcome: OutcomeKind.Answer, result, term, position, queueLength };
            return await confirmAnswer(services, { database, term, position, deadlineAt: work.deadlineAt }, reply);
        }
        cause = outcome.error.message;
        if (outcome.kind === AttemptOutcomeKind.Refused || !services.retryBudget.tryConsumeRetry(endpoint)) {
            break;
        }
    }
    return createUnknownOutcome(cause);
}

function createCancellation(position: number, term: number): StatementAnswer {
    return { result: undefined, term, position, isRepeated: false };
}
