import { FailureCode } from "../../statements/types/FailureCode.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { SimulatedEndpoint } from "../types/SimulatedEndpoint.js";

/** Effects of callers' statements, by the id of the statement. */
interface StatementEffects {
    commit(writeId: string): void;
    read(readId: string): void;
}

/** Executes a statement of one kind; returns whether it succeeded. */
type StatementHandler = (
    endpoint: SimulatedEndpoint,
    statement: OutgoingStatement,
    effects: StatementEffects,
) => boolean;

const handlers: Partial<Record<OutgoingKind, StatementHandler>> = {
    [OutgoingKind.Begin]: ({ isPrimary }, statement) => isPrimary || (statement as { isReadOnly: boolean; }).isReadOnly,
    [OutgoingKind.Forwarded]: ({ isPrimary }, statement, { commit, read }) => {
        const { id, text } = statement as { readonly id: string; readonly text: string; };
        const isRead = text.startsWith("READ");
        if (isRead || isPrimary) {
            (isRead ? read : commit)(id);
        }
        return isRead || isPrimary;
    },
    [OutgoingKind.StepDown]: (endpoint, statement) => {
        if ((statement as { term: number; }).term > endpoint.term) {
            endpoint.isPrimary = false;
        }
        return true;
    },
    [OutgoingKind.PauseReplication]: (endpoint, statement) => {
        const { term } = statement as { term: number; };
        if (!endpoint.isPrimary && term > endpoint.term) {
            endpoint.heldTerm = term;
        }
        return true;
    },
    [OutgoingKind.ResumeReplication]: endpoint => {
        endpoint.heldTerm = 0;
        return true;
    },
};

/**
 * Executes statements at an endpoint of a simulation.
 *
 * @param endpoint The endpoint.
 * @param statements The statements, in the order of execution.
 * @param effects Commits a write, or runs a read.
 * @returns The answers.
 *
 * @example
 * const [answer] = runAtEndpoint(endpoint, [{ kind: OutgoingKind.ReadStatus }], { commit, read });
 */
export function runAtEndpoint(
    endpoint: SimulatedEndpoint,
    statements: readonly OutgoingStatement[],
    effects: StatementEffects,
): readonly StatementAnswer[] {
    let state = SessionState.Idle;
    return statements.map(statement => {
        const isSuccess = handlers[statement.kind]?.(endpoint, statement, effects) ?? true;
        state = statement.kind === OutgoingKind.Begin && isSuccess ? SessionState.InTransaction : SessionState.Idle;
        const { isPrimary, term, position, heldTerm } = endpoint;
        return {
            rows: [],
            state,
            position,
            ...isSuccess
                ? { signature: endpoint.id }
                : { failure: { code: FailureCode.ReadOnly, description: endpoint.id } },
            replicaStatus: {
                isPrimary,
                term,
                received: position,
                heldTerm,
                lagMilliseconds: 0,
                busySlots: 0,
                connections: 1,
            },
        };
    });
}
