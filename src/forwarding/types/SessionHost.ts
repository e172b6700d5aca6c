import type { ForwardedAnswer } from "./ForwardedAnswer.js";
import type { ForwardedStatement } from "./ForwardedStatement.js";

/** The sessions that a VM serves for callers of other VMs. A session ends with the connection that opened it. */
export interface SessionHost {
    /**
     * Runs a statement; opens the session first when the statement names its database.
     *
     * Fails with `NotFound` when the session is not open or was refused; the statement was not run then.
     */
    run(statement: ForwardedStatement, connectionEnd: AbortSignal): Promise<ForwardedAnswer>;
    /** Closes sessions; unknown keys are ignored. */
    close(sessionKeys: readonly string[]): void;
    /** Yields an empty list at once, and then the keys of sessions of that connection that this VM has closed. */
    watchClosed(connectionEnd: AbortSignal, signal: AbortSignal | undefined): AsyncGenerator<readonly string[]>;
    /** Number of open sessions. */
    count(): number;
}
