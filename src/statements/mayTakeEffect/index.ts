import { SessionState } from "../types/SessionState.js";
import type { Statement } from "../types/Statement.js";
import { StatementKind } from "../types/StatementKind.js";

/** Statements that may change data outside a transaction. */
const effectsOutsideTransaction: Partial<Record<StatementKind, true>> = {
    [StatementKind.Write]: true,
    [StatementKind.Execute]: true,
};

/**
 * Determines whether a statement whose answer was lost may have changed data permanently.
 *
 * A transaction changes nothing permanently before its commit was sent.
 *
 * @param statement The statement that was sent.
 * @param state State of the session before the statement.
 * @returns False only when the statement has certainly changed nothing permanently.
 *
 * @example
 * mayTakeEffect(commit, SessionState.InTransaction); // => true
 */
export function mayTakeEffect(statement: Statement, state: SessionState): boolean {
    if (state === SessionState.Idle) {
        return statement.kind in effectsOutsideTransaction;
    }
    return state === SessionState.InTransaction && statement.kind === StatementKind.Commit;
}
