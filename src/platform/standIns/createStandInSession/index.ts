import { comparePositions } from "../../../statements/comparePositions/index.js";
import { FailureCode } from "../../../statements/types/FailureCode.js";
import type { LogPosition } from "../../../statements/types/LogPosition.js";
import { OutgoingKind } from "../../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../../statements/types/OutgoingStatement.js";
import type { PreparedStatement } from "../../../statements/types/PreparedStatement.js";
import { SessionState } from "../../../statements/types/SessionState.js";
import { encodeMessage } from "../../encodeMessage/index.js";
import { formatPosition } from "../../formatPosition/index.js";
import { splitFields } from "../../splitFields/index.js";
import { WireMessageKind } from "../../types/WireMessageKind.js";
import { decodeOutgoing } from "../decodeOutgoing/index.js";
import type { EndpointStandIn } from "../types/EndpointStandIn.js";
import type { ExecutedStatement } from "../types/ExecutedStatement.js";

/** Connection of a session, and functions of its endpoint. */
interface StandInSessionOptions {
    /** Number of the connection. */
    readonly connection: number;
    readonly write: (text: string) => void;
    /** Closes the connection. */
    readonly closeConnection: () => void;
    readonly commit: (items: Readonly<Record<string, string>>, ids: readonly string[]) => LogPosition;
    readonly onExecuted: (statement: ExecutedStatement) => void;
    readonly onRoleChange: (endpoint: EndpointStandIn) => void;
}

/** An open transaction. */
interface StandInTransaction {
    readonly isReadOnly: boolean;
    readonly items: Record<string, string>;
    readonly ids: string[];
}

/** The endpoint's side of one connection, for tests. */
interface StandInSession {
    open(group: string, user: string): void;
    run(id: string, text: string): void;
}

/** The failure of a statement, or the rows and signature of its answer. */
type StatementResult = FailureCode | { readonly rows: readonly string[]; readonly signature: string; };

const emptyResult: StatementResult = { rows: [], signature: "-" };

/**
 * Creates the endpoint's side of one connection, for tests.
 *
 * @param endpoint The endpoint.
 * @param options The connection, and functions of the endpoint.
 * @returns The session, before its startup message.
 *
 * @example
 * const session = createStandInSession(endpoint, options);
 */
export function createStandInSession(endpoint: EndpointStandIn, options: StandInSessionOptions): StandInSession {
    const values = new Map<string, string>();
    const preparedStatements = new Map<string, PreparedStatement>();
    let transaction: StandInTransaction | undefined;
    let hasFailed = false;
    let owner = "";

    function send(result: StatementResult): void {
        if (typeof result === "string") {
            hasFailed = transaction !== undefined;
            const failure = { code: result, description: endpoint.id };
            options.write(encodeMessage({ kind: WireMessageKind.Error, failure }));
        }
        else {
            result.rows.forEach(text => options.write(encodeMessage({ kind: WireMessageKind.Row, text })));
            options.write(encodeMessage({ kind: WireMessageKind.Complete, signature: result.signature }));
        }
        options.write(
            encodeMessage({ kind: WireMessageKind.Ready, state: sessionState(), position: endpoint.position() }),
        );
    }

    function sessionState(): SessionState {
        if (transaction === undefined) {
            return SessionState.Idle;
        }
        return hasFailed ? SessionState.FailedTransaction : SessionState.InTransaction;
    }

    function open(group: string, user: string): void {
        const [name = "", expectedId] = splitFields(user, 2);
        owner = name;
        if (group !== endpoint.group || (expectedId !== undefined && expectedId !== endpoint.id)) {
            const failure = { code: FailureCode.Misrouted, description: endpoint.id };
            options.write(encodeMessage({ kind: WireMessageKind.Error, failure }));
            options.closeConnection();
            return;
        }
        options.write(encodeMessage({
            kind: WireMessageKind.Ready,
            state: SessionState.Idle,
            position: endpoint.position(),
        }));
    }

    function run(id: string, text: string): void {
        const statement = decodeOutgoing(id, text);
        send(statement === undefined ? FailureCode.Malformed : execute(statement));
    }

    function execute(statement: OutgoingStatement): StatementResult {
        const leastPosition = "leastPosition" in statement ? statement.leastPosition : undefined;
        if (leastPosition !== undefined && comparePositions(endpoint.position(), leastPosition) < 0) {
            return FailureCode.Lagging;
        }
        switch (statement.kind) {
            case OutgoingKind.Begin:
                return begin(statement.isReadOnly);
            case OutgoingKind.Rollback:
                transaction = undefined;
                return emptyResult;
            case OutgoingKind.Discard:
                values.clear();
                preparedStatements.clear();
                return emptyResult;
            case OutgoingKind.SetValue:
                values.set(statement.name, statement.value);
                return emptyResult;
            case OutgoingKind.Prepare:
                preparedStatements.set(statement.name, statement);
                return emptyResult;
            case OutgoingKind.Forwarded:
                return executeForwarded(statement.id, statement.text, undefined);
            case OutgoingKind.ForwardedExecution:
                return executePrepared(statement);
            default:
                return executeControl(statement);
        }
    }

    function begin(isReadOnly: boolean): StatementResult {
        if (!isReadOnly && !endpoint.isPrimary) {
            return FailureCode.ReadOnly;
        }
        transaction = { isReadOnly, items: {}, ids: [] };
        hasFailed = false;
        return emptyResult;
    }

    function executePrepared(
        statement: Extract<OutgoingStatement, { readonly kind: OutgoingKind.ForwardedExecution; }>,
    ) {
        const { id, name, remainder } = statement;
        const definition = preparedStatements.get(name);
        return definition === undefined
            ? FailureCode.UnknownPreparedStatement
            : executeForwarded(id, `${definition.mode.toUpperCase()} ${remainder}`, definition.shape);
    }

    function executeForwarded(id: string, text: string, shape: string | undefined): StatementResult {
        const [word, item = "", data = ""] = splitFields(text, 3);
        if (endpoint.isBusy) {
            return FailureCode.Busy;
        }
        const hasSteppedDown = transaction?.isReadOnly === false && !endpoint.isPrimary;
        if (hasSteppedDown || (word === "WRITE" && (!endpoint.isPrimary || transaction?.isReadOnly === true))) {
            return FailureCode.ReadOnly;
        }
        options.onExecuted({
            id,
            endpointId: endpoint.id,
            connection: options.connection,
            owner,
            isInTransaction: transaction !== undefined,
            values: Object.fromEntries(values),
            ...shape === undefined ? {} : { shape },
        });
        const signature = `${endpoint.id}.${id}`;
        if (word === "COMMIT") {
            return commitTransaction(signature);
        }
        if (word === "READ") {
            return { rows: [readItem(item)], signature };
        }
        return write(id, { item, data, signature });
    }

    function readItem(item: string): string {
        const uncommitted = transaction?.items[item];
        const committed = endpoint.log.findLast(entry => entry.items[item] !== undefined)?.items[item];
        return uncommitted ?? committed ?? "nothing";
    }

    /** Fields of a write. */
    interface WriteFields {
        readonly item: string;
        readonly data: string;
        readonly signature: string;
    }

    function write(id: string, { item, data, signature }: WriteFields): StatementResult {
        if (transaction !== undefined) {
            transaction.items[item] = data;
            transaction.ids.push(id);
            return { rows: [], signature };
        }
        options.commit({ [item]: data }, [id]);
        loseAnswerIfConfigured();
        return { rows: [], signature };
    }

    function commitTransaction(signature: string): StatementResult {
        const committed = transaction;
        transaction = undefined;
        if (committed !== undefined && committed.ids.length > 0) {
            options.commit(committed.items, committed.ids);
            loseAnswerIfConfigured();
        }
        return { rows: [], signature };
    }

    function loseAnswerIfConfigured(): void {
        if (endpoint.lostAnswers > 0) {
            endpoint.lostAnswers -= 1;
            options.closeConnection();
        }
    }

    function executeControl(statement: OutgoingStatement): StatementResult {
        if (statement.kind === OutgoingKind.StepDown && endpoint.term < statement.term && endpoint.isPrimary) {
            endpoint.isPrimary = false;
            options.onRoleChange(endpoint);
        }
        if (statement.kind === OutgoingKind.PauseReplication && statement.term > endpoint.term) {
            endpoint.heldTerm = statement.term;
        }
        if (statement.kind === OutgoingKind.ResumeReplication) {
            endpoint.heldTerm = 0;
        }
        const role = endpoint.isPrimary ? "primary" : "replica";
        const { term, heldTerm, lagMilliseconds } = endpoint;
        const row = [
            role,
            term,
            formatPosition(endpoint.position()),
            heldTerm,
            lagMilliseconds,
            0,
            endpoint.countConnections(),
        ];
        return { rows: [row.join(" ")], signature: "-" };
    }

    return { open, run };
}
