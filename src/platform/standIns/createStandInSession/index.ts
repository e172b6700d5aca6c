import { comparePositions } from "../../../statements/comparePositions/index.js";
import { FailureCode } from "../../../statements/types/FailureCode.js";
import type { LogPosition } from "../../../statements/types/LogPosition.js";
import { OutgoingKind } from "../../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../../statements/types/OutgoingStatement.js";
import type { PreparedStatement } from "../../../statements/types/PreparedStatement.js";
import { SessionState } from "../../../statements/types/SessionState.js";
import { encodeMessage } from "../../encodeMessage/index.js";
import { formatPosition } from "../../formatPosition/index.js";
import { splitWords } from "../../splitWords/index.js";
import { WireMessageKind } from "../../types/WireMessageKind.js";
import { decodeOutgoing } from "../decodeOutgoing/index.js";
import type { EndpointStandIn } from "../types/EndpointStandIn.js";
import type { ExecutedStatement } from "../types/ExecutedStatement.js";

/** What a session needs of its endpoint and connection. */
interface StandInSessionOptions {
    readonly connection: number;
    readonly write: (text: string) => void;
    readonly breakOff: () => void;
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

/** One connection to an endpoint for tests. */
interface StandInSession {
    open(group: string, user: string): void;
    run(id: string, text: string): void;
}

/** A refusal or an answer's rows. */
type Result = FailureCode | { readonly rows: readonly string[]; readonly signature: string; };

const done: Result = { rows: [], signature: "-" };

/**
 * Creates one connection to an endpoint for tests.
 *
 * @param endpoint The endpoint.
 * @param options Its connection, and whom it tells.
 * @returns The session, not yet opened.
 *
 * @example
 * const session = createStandInSession(endpoint, options);
 */
export function createStandInSession(endpoint: EndpointStandIn, options: StandInSessionOptions): StandInSession {
    const values = new Map<string, string>();
    const prepared = new Map<string, PreparedStatement>();
    let transaction: StandInTransaction | undefined;
    let hasFailed = false;

    function send(result: Result): void {
        if (typeof result === "string") {
            hasFailed = transaction !== undefined;
            const failure = { code: result, description: endpoint.id };
            options.write(encodeMessage({ kind: WireMessageKind.Error, failure }));
        }
        else {
            result.rows.forEach(text => options.write(encodeMessage({ kind: WireMessageKind.Row, text })));
            options.write(encodeMessage({ kind: WireMessageKind.Complete, signature: result.signature }));
        }
        options.write(encodeMessage({ kind: WireMessageKind.Ready, state: state(), position: endpoint.position() }));
    }

    function state(): SessionState {
        if (transaction === undefined) {
            return SessionState.Idle;
        }
        return hasFailed ? SessionState.FailedTransaction : SessionState.InTransaction;
    }

    function open(group: string, user: string): void {
        const [, expectedId] = splitWords(user, 2);
        if (group !== endpoint.group || (expectedId !== undefined && expectedId !== endpoint.id)) {
            const failure = { code: FailureCode.Misrouted, description: endpoint.id };
            options.write(encodeMessage({ kind: WireMessageKind.Error, failure }));
            options.breakOff();
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

    function execute(statement: OutgoingStatement): Result {
        const leastPosition = "leastPosition" in statement ? statement.leastPosition : undefined;
        if (leastPosition !== undefined && comparePositions(endpoint.position(), leastPosition) < 0) {
            return FailureCode.Lagging;
        }
        switch (statement.kind) {
            case OutgoingKind.Begin:
                return begin(statement.isReadOnly);
            case OutgoingKind.Rollback:
                transaction = undefined;
                return done;
            case OutgoingKind.Discard:
                values.clear();
                prepared.clear();
                return done;
            case OutgoingKind.SetValue:
                values.set(statement.name, statement.value);
                return done;
            case OutgoingKind.Prepare:
                prepared.set(statement.name, statement);
                return done;
            case OutgoingKind.Forwarded:
                return forward(statement.id, statement.text, undefined);
            case OutgoingKind.ForwardedExecution:
                return runPrepared(statement);
            default:
                return control(statement);
        }
    }

    function begin(isReadOnly: boolean): Result {
        if (!isReadOnly && !endpoint.isPrimary) {
            return FailureCode.ReadOnly;
        }
        transaction = { isReadOnly, items: {}, ids: [] };
        hasFailed = false;
        return done;
    }

    function runPrepared(statement: Extract<OutgoingStatement, { readonly kind: OutgoingKind.ForwardedExecution; }>) {
        const { id, name, remainder } = statement;
        const definition = prepared.get(name);
        return definition === undefined
            ? FailureCode.UnknownPreparedStatement
            : forward(id, `${definition.mode.toUpperCase()} ${remainder}`, definition.shape);
    }

    function forward(id: string, text: string, shape: string | undefined): Result {
        const [word, item = "", data = ""] = splitWords(text, 3);
        if (endpoint.isBusy) {
            return FailureCode.Busy;
        }
        const hasLostLead = transaction?.isReadOnly === false && !endpoint.isPrimary;
        if (hasLostLead || (word === "WRITE" && (!endpoint.isPrimary || transaction?.isReadOnly === true))) {
            return FailureCode.ReadOnly;
        }
        options.onExecuted({
            id,
            endpointId: endpoint.id,
            connection: options.connection,
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
        const inTransaction = transaction?.items[item];
        const committed = endpoint.log.findLast(entry => entry.items[item] !== undefined)?.items[item];
        return inTransaction ?? committed ?? "nothing";
    }

    /** A write with its fields. */
    interface WriteFields {
        readonly item: string;
        readonly data: string;
        readonly signature: string;
    }

    function write(id: string, { item, data, signature }: WriteFields): Result {
        if (transaction !== undefined) {
            transaction.items[item] = data;
            transaction.ids.push(id);
            return { rows: [], signature };
        }
        options.commit({ [item]: data }, [id]);
        loseAnswer();
        return { rows: [], signature };
    }

    function commitTransaction(signature: string): Result {
        const ended = transaction;
        transaction = undefined;
        if (ended !== undefined && ended.ids.length > 0) {
            options.commit(ended.items, ended.ids);
            loseAnswer();
        }
        return { rows: [], signature };
    }

    function loseAnswer(): void {
        if (endpoint.lostAnswers > 0) {
            endpoint.lostAnswers -= 1;
            options.breakOff();
        }
    }

    function control(statement: OutgoingStatement): Result {
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
            endpoint.connections(),
        ];
        return { rows: [row.join(" ")], signature: "-" };
    }

    return { open, run };
}
