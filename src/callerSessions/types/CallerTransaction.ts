import type { Route } from "../../directory/types/Route.js";
import type { CallerStatement } from "./CallerStatement.js";
import type { StatementOutcome } from "./StatementOutcome.js";

/** A transaction of a caller. */
export interface CallerTransaction {
    /** The route in force when the transaction was begun; later routing tables do not change it. */
    readonly route: Route;
    /** Whether the transaction failed; only a commit or rollback is accepted then. */
    readonly hasFailed: boolean;
    /** Runs a read or write in the transaction. */
    run(statement: CallerStatement): Promise<StatementOutcome>;
    /** Commits the transaction. */
    commit(statement: CallerStatement): Promise<StatementOutcome>;
    /** Rolls back the transaction, unless it has ended; it counts as failed from then on. */
    abandon(): void;
}
