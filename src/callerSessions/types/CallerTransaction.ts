import type { Route } from "../../directory/types/Route.js";
import type { CallerStatement } from "./CallerStatement.js";
import type { StatementOutcome } from "./StatementOutcome.js";

/** A transaction of a caller. */
export interface CallerTransaction {
    /** The route in force when it was begun; later routing tables do not change it. */
    readonly route: Route;
    /** Whether it failed; only ending it is possible then. */
    readonly hasFailed: boolean;
    /** Runs a read or write in it. */
    run(statement: CallerStatement): Promise<StatementOutcome>;
    /** Commits it. */
    commit(statement: CallerStatement): Promise<StatementOutcome>;
    /** Rolls it back, unless it is over; it counts as failed from then on. */
    abandon(): void;
}
