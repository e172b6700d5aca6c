import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import type { Route } from "../../directory/types/Route.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { alignSession } from "../../placement/alignSession/index.js";
import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import { acquireConnection } from "../acquireConnection/index.js";
import { attemptStatement } from "../attemptStatement/index.js";
import { createFailure } from "../createFailure/index.js";
import { endTransaction } from "../endTransaction/index.js";
import { exchangeForRead } from "../exchangeForRead/index.js";
import { recordAcquisitionTimeout } from "../recordAcquisitionTimeout/index.js";
import { recordAnswer } from "../recordAnswer/index.js";
import { recordRefusal } from "../recordRefusal/index.js";
import { retryAttempts } from "../retryAttempts/index.js";
import type { Attempt } from "../types/Attempt.js";
import { AttemptKind } from "../types/AttemptKind.js";
import type { CallerStatement } from "../types/CallerStatement.js";
import type { CallerTransaction } from "../types/CallerTransaction.js";
import type { EligibleConnection } from "../types/EligibleConnection.js";
import type { SessionContext } from "../types/SessionContext.js";
import type { SessionServices } from "../types/SessionServices.js";
import type { StatementOutcome } from "../types/StatementOutcome.js";

/** Options of `createCallerTransaction`. */
interface TransactionOptions {
    readonly route: Route;
    readonly session: SessionContext;
    readonly isReadOnly: boolean;
    /** When the statement that began the transaction was received. */
    readonly receivedAt: number;
}

/**
 * Creates a caller's transaction. It is begun at an endpoint together with its first statement, so that a transaction
 * without a statement holds no connection, and the first statement can be retried at another endpoint.
 *
 * @param options The route and session, and whether the transaction only reads.
 * @param services Placement, and services that record answers.
 * @returns The transaction, not yet begun at an endpoint.
 *
 * @example
 * const transaction = createCallerTransaction({ route, session, isReadOnly: true, receivedAt }, services);
 */
export function createCallerTransaction(options: TransactionOptions, services: SessionServices): CallerTransaction {
    const { route, session, isReadOnly, receivedAt } = options;
    const { clock, log } = services;
    let heldConnection: AcquiredConnection | undefined;
    let hasWritten = false;
    let hasFailed = false;

    /** Begins the transaction on a connection; returns the failure, or undefined after success. */
    async function begin(eligible: EligibleConnection, expiresAt: number): Promise<StatementOutcome | undefined> {
        const candidate = eligible.connection;
        const sinceSent = startElapsedTimer(clock);
        const timeLeft = Math.max(expiresAt - clock.now(), 1);
        const statements: readonly OutgoingStatement[] = [
            ...alignSession(candidate.pooled, { values: session.values }),
            { kind: OutgoingKind.Begin, isReadOnly, leastPosition: eligible.leastPosition },
        ];
        try {
            const { answers, isProven } = isReadOnly
                ? await exchangeForRead(candidate, statements, timeLeft, services)
                : { answers: await candidate.exchange(statements, timeLeft), isProven: true };
            const answer = answers.at(-1)!;
            recordAnswer(candidate, { answer, sinceSent, needsPrimary: !isReadOnly }, services);
            if (answer.failure === undefined && !isProven) {
                void endTransaction(candidate, log);
                return createFailure(FailureCode.Aborted, "the endpoint could not be verified as the primary");
            }
            if (answer.failure === undefined) {
                return undefined;
            }
            recordRefusal(candidate, answer.failure.code, services);
            candidate.release();
            return { rows: [], failure: answer.failure };
        }
        catch (error) {
            candidate.discard();
            return createFailure(FailureCode.Aborted, toTypedError(error).message);
        }
    }

    /** Runs the first statement with retries: a failed attempt has no effect, since nothing was committed. */
    function runFirst(statement: CallerStatement): Promise<StatementOutcome> {
        const excluded = new Set<string>();
        return retryAttempts({
            group: route.group,
            expiresAt: statement.expiresAt,
            attempt: () => attemptFirst(statement, excluded),
            onRetryable: ({ failure }) =>
                log("first statement of a transaction is retried", {
                    id: statement.id,
                    group: route.group,
                    code: failure?.code,
                    reason: failure?.description,
                    waitedMilliseconds: Math.round(clock.now() - statement.receivedAt),
                }),
        }, services);
    }

    async function attemptFirst(statement: CallerStatement, excluded: Set<string>): Promise<Attempt> {
        let eligible: EligibleConnection;
        try {
            const { expiresAt } = statement;
            eligible = await acquireConnection(
                { route, session, isReadOnly, receivedAt, expiresAt, excluded },
                services,
            );
        }
        catch (error) {
            const { message: reason } = toTypedError(error);
            recordAcquisitionTimeout(statement, { requestKind: "transaction", isReadOnly, reason }, services);
            return { kind: AttemptKind.Final, outcome: createFailure(FailureCode.Busy, reason) };
        }
        const refusal = await begin(eligible, statement.expiresAt);
        if (refusal !== undefined) {
            return { kind: AttemptKind.Retryable, outcome: refusal };
        }
        const attempt = await send(statement, eligible.connection);
        if (attempt.outcome.failure === undefined) {
            heldConnection = eligible.connection;
            return attempt;
        }
        if (attempt.outcome.failure.code === FailureCode.Timeout) {
            excluded.add(eligible.connection.endpoint.id);
        }
        void endTransaction(eligible.connection, log);
        return attempt;
    }

    /** Sends a statement on the transaction's connection; a lost answer aborts, since nothing was committed. */
    async function send(statement: CallerStatement, connection: AcquiredConnection) {
        const timeLeft = Math.max(statement.expiresAt - clock.now(), 1);
        const eligible = { connection, leastPosition: undefined, isInTransaction: true };
        const attempt = await attemptStatement(statement, eligible, timeLeft, services);
        if (attempt.outcome.failure?.code === FailureCode.OutcomeUnknown) {
            const outcome = createFailure(FailureCode.Aborted, attempt.outcome.failure.description);
            return { kind: AttemptKind.Retryable, outcome };
        }
        return attempt;
    }

    async function run(statement: CallerStatement): Promise<StatementOutcome> {
        const outcome = heldConnection === undefined
            ? await runFirst(statement)
            : (await send(statement, heldConnection)).outcome;
        if (outcome.failure === undefined) {
            hasWritten ||= statement.mode === AccessMode.Write;
            return outcome;
        }
        abandon();
        return toAborted(outcome);
    }

    /** Turns a timeout into `Aborted`: an uncommitted transaction has no effect, whether or not the statement ran. */
    function toAborted(outcome: StatementOutcome): StatementOutcome {
        return outcome.failure?.code === FailureCode.Timeout
            ? createFailure(FailureCode.Aborted, outcome.failure.description)
            : outcome;
    }

    async function commit(statement: CallerStatement): Promise<StatementOutcome> {
        const outcome = heldConnection === undefined
            ? await runFirst(statement)
            : await commitOn(heldConnection, statement);
        heldConnection?.release();
        heldConnection = undefined;
        if (outcome.failure === undefined && hasWritten && outcome.position !== undefined) {
            session.commits.set(route.group, outcome.position);
        }
        return hasWritten ? outcome : toAborted(outcome);
    }

    async function commitOn(connection: AcquiredConnection, statement: CallerStatement): Promise<StatementOutcome> {
        const timeLeft = Math.max(statement.expiresAt - clock.now(), 1);
        const mode = hasWritten ? AccessMode.Write : AccessMode.Read;
        const eligible = { connection, leastPosition: undefined, isInTransaction: true };
        const { outcome } = await attemptStatement({ ...statement, mode }, eligible, timeLeft, services);
        if (outcome.failure !== undefined) {
            log("transaction was not committed", {
                id: statement.id,
                endpoint: connection.endpoint.id,
                hasWritten,
                code: outcome.failure.code,
                reason: outcome.failure.description,
            });
            connection.discard();
        }
        return outcome;
    }

    function abandon(): void {
        hasFailed = true;
        if (heldConnection !== undefined) {
            void endTransaction(heldConnection, log);
            heldConnection = undefined;
        }
    }

    return {
        route,
        get hasFailed() {
            return hasFailed;
        },
        run,
        commit,
        abandon,
    };
}
