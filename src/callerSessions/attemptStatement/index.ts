import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { alignSession } from "../../placement/alignSession/index.js";
import { Verifiability } from "../../primaries/types/Verifiability.js";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { callerSessionConstants } from "../constants.js";
import { createFailure } from "../createFailure/index.js";
import { exchangeForRead } from "../exchangeForRead/index.js";
import { recordAnswer } from "../recordAnswer/index.js";
import { recordRefusal } from "../recordRefusal/index.js";
import { toOutgoingStatement } from "../toOutgoingStatement/index.js";
import type { Attempt } from "../types/Attempt.js";
import { AttemptKind } from "../types/AttemptKind.js";
import type { CallerStatement } from "../types/CallerStatement.js";
import type { EligibleConnection } from "../types/EligibleConnection.js";
import type { SessionServices } from "../types/SessionServices.js";

/**
 * Sends a caller's statement on a connection and classifies the answer. The caller of this function has to release the
 * connection; after a failure of the connection itself it is already discarded.
 *
 * @param callerStatement The statement.
 * @param eligible The connection, and the log position that the endpoint has to hold.
 * @param timeoutMilliseconds Time limit of the answer.
 * @param services Services that record the answer and verify the primary.
 * @returns Whether the attempt is final or may be retried, and its outcome.
 *
 * @example
 * const attempt = await attemptStatement(callerStatement, eligible, 600, services);
 */
export async function attemptStatement(
    callerStatement: CallerStatement,
    { connection, leastPosition, isInTransaction = false }: EligibleConnection,
    timeoutMilliseconds: number,
    services: SessionServices,
): Promise<Attempt> {
    const expiresAt = services.clock.now() + timeoutMilliseconds;
    const verifiability = await waitForVerifiability(connection, expiresAt, services);
    if (verifiability !== Verifiability.Possible) {
        const outcome = createFailure(FailureCode.Busy, "whether the endpoint is the primary cannot be verified");
        return { kind: AttemptKind.Final, outcome };
    }
    if (!await mayWrite(callerStatement, connection, services)) {
        const outcome = createFailure(FailureCode.Busy, "the endpoint could not be verified as the primary");
        return { kind: AttemptKind.Retryable, outcome };
    }
    const { prepared, session, mode } = callerStatement;
    const endpointName = prepared && services.preparedNames.nameOf(prepared);
    const expectedPrepared = prepared && endpointName !== undefined ? { ...prepared, endpointName } : undefined;
    const statements = [
        ...alignSession(connection.pooled, { values: session.values, prepared: expectedPrepared }),
        toOutgoingStatement(callerStatement, endpointName, leastPosition),
    ];
    const timeLeft = Math.max(expiresAt - services.clock.now(), 1);
    const sinceSent = startElapsedTimer(services.clock);
    // A write proves by itself that the endpoint has not stepped down, and a transaction did so when it began.
    const needsProof = mode === AccessMode.Read && !isInTransaction;
    try {
        const { answers, isProven } = needsProof
            ? await exchangeForRead(connection, statements, timeLeft, services)
            : { answers: await connection.exchange(statements, timeLeft), isProven: true };
        const answer = answers.at(-1)!;
        recordAnswer(connection, { answer, sinceSent, needsPrimary: mode === AccessMode.Write }, services);
        if (answers.slice(0, -1).some(({ failure }) => failure !== undefined)) {
            // The connection lacks session values or the prepared statement that the caller's statement needs.
            connection.discard();
            return classifyLoss(callerStatement, "the endpoint refused a statement that prepares the connection");
        }
        const attempt = classifyAnswer(callerStatement, connection, answer, services);
        if (attempt.outcome.failure !== undefined) {
            return attempt;
        }
        if (!isProven) {
            const outcome = createFailure(FailureCode.Aborted, "the endpoint could not be verified as the primary");
            return { kind: AttemptKind.Retryable, outcome };
        }
        if (!await isReplicaOrVerifiedPrimary(connection, services)) {
            return classifyLoss(callerStatement, "the endpoint could not be verified as the primary after it answered");
        }
        // The verification may have found a newer term.
        return isCommitOfOlderTerm(callerStatement, connection, answer, services)
            ? classifyLoss(callerStatement, "the endpoint committed in an older term than the newest")
            : attempt;
    }
    catch (error) {
        connection.discard();
        const { kind, message } = toTypedError(error);
        if (kind === ErrorKind.Unreachable) {
            return { kind: AttemptKind.Retryable, outcome: createFailure(FailureCode.Busy, message) };
        }
        return classifyLoss(callerStatement, message);
    }
}

/**
 * Whether an answer of the endpoint can be relied on at all: one of a replica, or of a primary that can be verified. Waits
 * within the time limit while that may soon change.
 */
async function waitForVerifiability(
    { isPrimary, endpoint }: EligibleConnection["connection"],
    expiresAt: number,
    { clock, verification, stop }: SessionServices,
): Promise<Verifiability> {
    for (;;) {
        const verifiability = !isPrimary || verification.isVerified(endpoint)
            ? Verifiability.Possible
            : verification.verifiabilityOf(endpoint);
        if (verifiability !== Verifiability.NotYet || clock.now() >= expiresAt || stop.waitsEnd.aborted) {
            return verifiability;
        }
        await clock.sleep(callerSessionConstants.verifiabilityPollingMilliseconds);
    }
}

/** Writes go to a verified primary only: at a superseded one their outcome would stay unknown. */
async function mayWrite(
    { mode }: CallerStatement,
    connection: EligibleConnection["connection"],
    services: SessionServices,
): Promise<boolean> {
    const { isPrimary, endpoint } = connection;
    return mode === AccessMode.Read
        || isPrimary && services.verification.wasVerified(endpoint)
        || await isReplicaOrVerifiedPrimary(connection, services);
}

/** Whether a known primary is verified; true for a replica, whose answers are checked by log position instead. */
async function isReplicaOrVerifiedPrimary(
    { isPrimary, endpoint }: EligibleConnection["connection"],
    services: SessionServices,
): Promise<boolean> {
    return !isPrimary || services.verification.isVerified(endpoint) || await services.verification.verify(endpoint);
}

/** Whether a commit has a term below the newest; another endpoint then led, even if this one was promoted since. */
function isCommitOfOlderTerm(
    { mode }: CallerStatement,
    { endpoint }: EligibleConnection["connection"],
    { state, position }: StatementAnswer,
    { primaries }: SessionServices,
): boolean {
    const isCommit = mode === AccessMode.Write && state === SessionState.Idle;
    return isCommit && position !== undefined && position.term < primaries.termOf(endpoint.group);
}

/** Classifies a missing answer: a read may be retried, a write may have run. */
function classifyLoss({ mode }: CallerStatement, description: string): Attempt {
    return mode === AccessMode.Read
        ? { kind: AttemptKind.Retryable, outcome: createFailure(FailureCode.Timeout, description) }
        : { kind: AttemptKind.Final, outcome: createFailure(FailureCode.OutcomeUnknown, description) };
}

function classifyAnswer(
    callerStatement: CallerStatement,
    connection: EligibleConnection["connection"],
    answer: StatementAnswer,
    services: SessionServices,
): Attempt {
    const { rows, signature, position, failure } = answer;
    if (failure !== undefined) {
        const didNotRun = recordRefusal(connection, failure.code, services);
        const outcome = { rows: [], failure };
        return didNotRun || isFailedProbe(callerStatement, connection, failure.code)
            ? { kind: AttemptKind.Retryable, outcome, hadNoSlot: failure.code === FailureCode.Busy }
            : { kind: AttemptKind.Final, outcome };
    }
    if (signature === undefined) {
        connection.discard();
        return classifyLoss(callerStatement, "the answer had no signature");
    }
    return { kind: AttemptKind.Final, outcome: { rows, signature, position } };
}

/** Whether a read found out that an endpoint still fails statements; another endpoint may serve it. */
function isFailedProbe(
    { mode }: CallerStatement,
    { isProbe }: EligibleConnection["connection"],
    code: FailureCode,
): boolean {
    return isProbe === true && mode === AccessMode.Read && code === FailureCode.Failed;
}
