import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { alignSession } from "../../placement/alignSession/index.js";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { createFailure } from "../createFailure/index.js";
import { noteAnswer } from "../noteAnswer/index.js";
import { noteRefusal } from "../noteRefusal/index.js";
import { toOutgoing } from "../toOutgoing/index.js";
import type { Attempt } from "../types/Attempt.js";
import { AttemptKind } from "../types/AttemptKind.js";
import type { CallerStatement } from "../types/CallerStatement.js";
import type { PlacedLease } from "../types/PlacedLease.js";
import type { SessionServices } from "../types/SessionServices.js";

/**
 * Sends a caller's statement on a connection and judges the answer. The connection stays with the caller of this
 * function, unless it broke.
 *
 * @param callerStatement The statement.
 * @param placed The connection and the position that the endpoint has to hold.
 * @param timeoutMilliseconds Time limit of the answer.
 * @param services What learns from the answer.
 * @returns Whether the statement is settled, and what the caller is told.
 *
 * @example
 * const attempt = await attemptStatement(callerStatement, placed, 600, services);
 */
export async function attemptStatement(
    callerStatement: CallerStatement,
    { lease, leastPosition }: PlacedLease,
    timeoutMilliseconds: number,
    services: SessionServices,
): Promise<Attempt> {
    if (!await mayWrite(callerStatement, lease, services)) {
        const outcome = createFailure(FailureCode.Busy, "it is not sure that the endpoint is still the primary");
        return { kind: AttemptKind.Repeatable, outcome };
    }
    const { prepared, session } = callerStatement;
    const endpointName = prepared && services.preparedNames.nameOf(prepared);
    const expectedPrepared = prepared && endpointName !== undefined ? { ...prepared, endpointName } : undefined;
    const statements = [
        ...alignSession(lease.pooled, { values: session.values, prepared: expectedPrepared }),
        toOutgoing(callerStatement, endpointName, leastPosition),
    ];
    const sentAt = services.clock.now();
    try {
        const answers = await lease.exchange(statements, timeoutMilliseconds);
        const answer = answers.at(-1)!;
        noteAnswer(lease, sentAt, answer, services);
        if (answers.slice(0, -1).some(({ failure }) => failure !== undefined)) {
            // The connection is not in the state that the caller was promised.
            lease.discard();
            return judgeLoss(callerStatement, "the endpoint refused a session value");
        }
        const attempt = judgeAnswer(callerStatement, lease, answer, services);
        return attempt.outcome.failure === undefined && !await isFromPrimary(lease, services)
            ? judgeLoss(callerStatement, "it is not sure that the endpoint was still the primary")
            : attempt;
    }
    catch (error) {
        lease.discard();
        const { kind, message } = toTypedError(error);
        if (kind === ErrorKind.Unreachable) {
            return { kind: AttemptKind.Repeatable, outcome: createFailure(FailureCode.Busy, message) };
        }
        return judgeLoss(callerStatement, message);
    }
}

/** A write is not sent to an endpoint of which it is not sure that it leads: its outcome could not be told. */
async function mayWrite(
    { mode }: CallerStatement,
    lease: PlacedLease["lease"],
    services: SessionServices,
): Promise<boolean> {
    return mode === AccessMode.Read || await isFromPrimary(lease, services);
}

/** Whether what a supposed primary answers may be relied on; whatever another endpoint answers is checked elsewhere. */
async function isFromPrimary(
    { isPrimary, endpoint }: PlacedLease["lease"],
    services: SessionServices,
): Promise<boolean> {
    return !isPrimary || services.certainty.isSure(endpoint) || await services.certainty.confirm(endpoint);
}

/** The answer is missing: a read may be repeated, a write may have run. */
function judgeLoss({ mode }: CallerStatement, description: string): Attempt {
    return mode === AccessMode.Read
        ? { kind: AttemptKind.Repeatable, outcome: createFailure(FailureCode.Timeout, description) }
        : { kind: AttemptKind.Final, outcome: createFailure(FailureCode.OutcomeUnknown, description) };
}

function judgeAnswer(
    callerStatement: CallerStatement,
    lease: PlacedLease["lease"],
    answer: StatementAnswer,
    services: SessionServices,
): Attempt {
    const { rows, signature, position, failure } = answer;
    if (failure !== undefined) {
        const didNotRun = noteRefusal(lease, failure.code, services);
        const outcome = { rows: [], failure };
        return { kind: didNotRun ? AttemptKind.Repeatable : AttemptKind.Final, outcome };
    }
    if (signature === undefined) {
        lease.discard();
        return judgeLoss(callerStatement, "the answer had no signature");
    }
    return { kind: AttemptKind.Final, outcome: { rows, signature, position } };
}
