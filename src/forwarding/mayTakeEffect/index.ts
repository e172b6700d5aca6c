import { SessionState } from "../../statements/types/SessionState.js";
import type { Statement } from "../../statements/types/Statement.js";
import { StatementKind } from "../../statements/types/StatementKind.js";

/** Statements that by themselves change something, outside a transaction. */
const singleEffects: Partial<Record<StatementKind, true>> = {
    [StatementKind.Write]: true,
    [StatementKind.Execute]: true,
};

/**
 * Tells whether a statement whose answer was lost may have changed something for good.
 *
 * Nothing of a transaction is kept before its commit was sent.
 *
 * @param statement The statement that was sent.
 * @param state State of the session before it.
 * @returns False only when it is sure that nothing is kept.
 *
 * @example
 * mayTakeEffect(commit, SessionState.InTransaction); // => true
 */
export function mayTakeEffect(statement: Statement, state: SessionState): boolean {
    if (state === SessionState.Idle) {
        return statement.kind in singleEffects;
    }
    return state === SessionState.InTransaction && statement.kind === StatementKind.Commit;
}
