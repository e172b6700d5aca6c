import { AccessMode } from "../../statements/types/AccessMode.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import type { PreparedStatement } from "../../statements/types/PreparedStatement.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { Statement } from "../../statements/types/Statement.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { callerSessionConstants } from "../constants.js";
import { createCallerTransaction } from "../createCallerTransaction/index.js";
import { createFailure } from "../createFailure/index.js";
import { createOperationCharge } from "../createOperationCharge/index.js";
import { createSessionContext } from "../createSessionContext/index.js";
import { createStateFailure } from "../createStateFailure/index.js";
import { identifyCaller } from "../identifyCaller/index.js";
import { runSingleStatement } from "../runSingleStatement/index.js";
import type { CallerConnection } from "../types/CallerConnection.js";
import type { CallerSession } from "../types/CallerSession.js";
import type { CallerStatement } from "../types/CallerStatement.js";
import type { CallerTransaction } from "../types/CallerTransaction.js";
import type { ReceivedStatement } from "../types/ReceivedStatement.js";
import type { SessionOpening } from "../types/SessionOpening.js";
import type { SessionServices } from "../types/SessionServices.js";
import type { StatementOutcome } from "../types/StatementOutcome.js";

/** Handles one kind of statement. */
type StatementHandler<Kind extends StatementKind> = (
    statement: Extract<Statement, { readonly kind: Kind; }>,
    received: ReceivedStatement,
) => Promise<void> | void;

/**
 * Creates the session of one caller: its values, prepared statements and transaction.
 *
 * @param connection The caller's connection.
 * @param opening The database that the session was opened for, and the digest of the caller's key.
 * @param services Services that run the statements.
 * @returns The session, idle.
 *
 * @example
 * const session = createCallerSession(connection, { database: "shop", keyDigest }, services);
 */
export function createCallerSession(
    connection: CallerConnection,
    { database, keyDigest }: SessionOpening,
    services: SessionServices,
): CallerSession {
    const { clock, directory, log } = services;
    const context = createSessionContext(database);
    const charge = createOperationCharge(services.quotas);
    let isKeyWithdrawn = false;
    const kept = services.budget.openState();
    let transaction: CallerTransaction | undefined;
    /** Why this process rolled back the transaction; undefined when the caller did or has been informed. */
    let abandonReason: string | undefined;

    const handlers: { readonly [Kind in StatementKind]: StatementHandler<Kind>; } = {
        [StatementKind.Begin]: begin,
        [StatementKind.Commit]: (_statement, received) => commit(received),
        [StatementKind.Rollback]: rollBack,
        [StatementKind.Read]: (_statement, received) => run(received, AccessMode.Read, undefined),
        [StatementKind.Write]: (_statement, received) => run(received, AccessMode.Write, undefined),
        [StatementKind.SetValue]: ({ name, value }, { id }) =>
            keep(
                id,
                { name: `value ${name}`, bytes: name.length + value.length },
                () => context.values.set(name, value),
            ),
        [StatementKind.Prepare]: ({ name, mode, shape }, { id }) =>
            keep(
                id,
                { name: `prepared ${name}`, bytes: name.length + shape.length },
                () => context.prepared.set(name, { mode, shape }),
            ),
        [StatementKind.Execute]: execute,
        [StatementKind.ClosePrepared]: ({ name }) => {
            context.prepared.delete(name);
            kept.keep(`prepared ${name}`, 0);
            sendEmptySuccess();
        },
        [StatementKind.Unreadable]: () => fail(createFailure(FailureCode.Malformed, "the statement cannot be read")),
    };

    async function handle(received: ReceivedStatement): Promise<void> {
        if (!hasValidKey()) {
            refuseWithdrawnKey(received);
            return;
        }
        const { statement } = received;
        const isEnd = statement.kind === StatementKind.Commit || statement.kind === StatementKind.Rollback;
        if (hasFailedTransaction() && !isEnd) {
            const reason = abandonReason;
            abandonReason = undefined;
            fail(
                reason === undefined
                    ? createFailure(FailureCode.Malformed, "the transaction has failed; roll it back")
                    : createFailure(FailureCode.Aborted, reason),
            );
            return;
        }
        const handler = handlers[statement.kind] as StatementHandler<StatementKind>;
        await handler(statement, received);
    }

    /** Identifies the caller anew, since a newer routing table may have withdrawn its key. */
    function hasValidKey(): boolean {
        const route = transaction?.route ?? directory.routeOf(database);
        const identity = route && identifyCaller(route, keyDigest, directory);
        const isSame = identity !== undefined
            && (transaction === undefined || identity.owner === context.identity.owner);
        context.identity = isSame ? identity : context.identity;
        // Without a route, the statement is refused for that.
        return isSame || route === undefined;
    }

    /** Ends the session; an open transaction is rolled back. */
    function refuseWithdrawnKey({ id }: ReceivedStatement): void {
        isKeyWithdrawn = true;
        clearTransaction();
        sendOutcome(id, createFailure(FailureCode.UnknownKey, "no workspace holds this key any more"));
    }

    function hasFailedTransaction(): boolean {
        return transaction?.hasFailed === true;
    }

    function state(): SessionState {
        if (transaction === undefined) {
            return SessionState.Idle;
        }
        return transaction.hasFailed ? SessionState.FailedTransaction : SessionState.InTransaction;
    }

    function sendEmptySuccess(): void {
        connection.sendSuccess({ rows: [], state: state() });
    }

    /** Keeps a value or prepared statement, unless the session or the process keeps too much. */
    function keep(id: string, item: { readonly name: string; readonly bytes: number; }, apply: () => void): void {
        const refusal = kept.keep(item.name, item.bytes);
        if (refusal !== undefined) {
            sendOutcome(id, createStateFailure(refusal));
            return;
        }
        apply();
        sendEmptySuccess();
    }

    function fail(outcome: StatementOutcome): void {
        connection.sendFailure(outcome.failure!, state());
    }

    function sendOutcome(id: string, outcome: StatementOutcome): void {
        const { rows, signature, position, failure } = outcome;
        if (failure === undefined) {
            connection.sendSuccess({ rows, signature, state: state(), position });
            return;
        }
        log("statement failed", { id, database, code: failure.code, reason: failure.description, state: state() });
        fail(outcome);
    }

    function createUnknownDatabaseFailure(): StatementOutcome {
        return createFailure(FailureCode.UnknownDatabase, `no route exists for a database of this name`);
    }

    async function begin(
        { isReadOnly }: { readonly isReadOnly: boolean; },
        { id, receivedAt }: ReceivedStatement,
    ): Promise<void> {
        if (transaction !== undefined) {
            sendOutcome(id, createFailure(FailureCode.Malformed, "a transaction is open already"));
            return;
        }
        const route = directory.routeOf(database);
        if (route === undefined) {
            sendOutcome(id, createUnknownDatabaseFailure());
            return;
        }
        const refusal = await charge.begin(context.identity.workspace);
        if (refusal !== undefined) {
            sendOutcome(id, refusal);
            return;
        }
        transaction = createCallerTransaction({ route, session: context, isReadOnly, receivedAt }, services);
        sendEmptySuccess();
    }

    async function run(
        received: ReceivedStatement,
        mode: AccessMode,
        prepared: PreparedStatement | undefined,
    ): Promise<void> {
        const route = transaction?.route ?? directory.routeOf(database);
        if (route === undefined) {
            sendOutcome(received.id, createUnknownDatabaseFailure());
            return;
        }
        const refusal = transaction === undefined ? await charge.begin(context.identity.workspace) : undefined;
        if (refusal !== undefined) {
            sendOutcome(received.id, refusal);
            return;
        }
        const callerStatement = toCallerStatement(received, { route, mode, prepared });
        const startedAt = clock.now();
        const outcome = transaction === undefined
            ? await runSingleStatement(callerStatement, services)
            : await transaction.run(callerStatement);
        charge.settle(outcome);
        services.metrics.countStatement(route.guarantee, clock.now() - startedAt, outcome.failure?.code);
        const isOwnCommit = transaction === undefined && mode === AccessMode.Write && outcome.failure === undefined;
        if (isOwnCommit && outcome.position !== undefined) {
            context.commits.set(route.group, outcome.position);
        }
        sendOutcome(received.id, outcome);
    }

    function toCallerStatement(
        { id, statement, receivedAt }: ReceivedStatement,
        kind: Pick<CallerStatement, "route" | "mode" | "prepared">,
    ): CallerStatement {
        const limit = kind.route.statementTimeoutMilliseconds - callerSessionConstants.answerReserveMilliseconds;
        return { id, statement, ...kind, session: context, receivedAt, expiresAt: receivedAt + limit };
    }

    async function execute({ name }: { readonly name: string; }, received: ReceivedStatement): Promise<void> {
        const prepared = context.prepared.get(name);
        if (prepared === undefined) {
            sendOutcome(
                received.id,
                createFailure(FailureCode.UnknownPreparedStatement, "no statement is prepared under this name"),
            );
            return;
        }
        await run(received, prepared.mode, prepared);
    }

    async function commit(received: ReceivedStatement): Promise<void> {
        const ending = transaction;
        if (ending === undefined) {
            sendOutcome(received.id, createFailure(FailureCode.Malformed, "no transaction is open"));
            return;
        }
        if (hasFailedTransaction()) {
            const reason = abandonReason ?? "the transaction had failed and was rolled back";
            clearTransaction();
            sendOutcome(received.id, createFailure(FailureCode.Aborted, reason));
            return;
        }
        const statement = toCallerStatement(received, { route: ending.route, mode: AccessMode.Read });
        const startedAt = clock.now();
        const outcome = await ending.commit(statement);
        charge.settle(outcome);
        services.metrics.countStatement(statement.route.guarantee, clock.now() - startedAt, outcome.failure?.code);
        clearTransaction();
        sendOutcome(received.id, outcome);
    }

    function rollBack(_statement: Statement, { id }: ReceivedStatement): void {
        if (transaction === undefined) {
            sendOutcome(id, createFailure(FailureCode.Malformed, "no transaction is open"));
            return;
        }
        clearTransaction();
        sendEmptySuccess();
    }

    function clearTransaction(): void {
        transaction?.abandon();
        charge.end();
        transaction = undefined;
        abandonReason = undefined;
    }

    function abandonTransaction(reason: string): void {
        if (transaction !== undefined && !hasFailedTransaction()) {
            log("transaction was rolled back", { database, reason, at: Math.round(clock.now()) });
            transaction.abandon();
            abandonReason = reason;
        }
    }

    return {
        isInTransaction: () => transaction !== undefined,
        isOver: () => isKeyWithdrawn,
        handle,
        abandonTransaction,
        end: reason => {
            abandonTransaction(reason);
            kept.close();
        },
    };
}
