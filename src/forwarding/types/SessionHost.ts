import type { ForwardedAnswer } from "./ForwardedAnswer.js";
import type { ForwardedStatement } from "./ForwardedStatement.js";

/** The sessions that a VM serves for callers of other VMs. */
export interface SessionHost {
    /** Opens a session for a database; yields its id, and ends when the session is closed from either side. */
    open(database: string, signal: AbortSignal | undefined): AsyncGenerator<number>;
    /** Runs a statement in an open session; fails with `NotFound` when the session is no longer open. */
    run(statement: ForwardedStatement): Promise<ForwardedAnswer>;
    /** Number of open sessions. */
    count(): number;
}
