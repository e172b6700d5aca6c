import type { ForwardedAnswer } from "./ForwardedAnswer.js";
import type { ForwardedStatement } from "./ForwardedStatement.js";

/** A session that another VM, its host, serves. The host opens it with the first statement. */
export interface HostedSession {
    /**
     * Runs one statement.
     *
     * Fails with `Unreachable` or `NotFound` when the statement was certainly not run, and otherwise when the connection
     * to the host was lost before the answer.
     */
    run(statement: Pick<ForwardedStatement, "id" | "statement" | "routingVersion">): Promise<ForwardedAnswer>;
    /** Calls the listener once, when the host has closed the session or the connection to the host is lost. */
    onClose(listener: () => void): void;
    /** Ends the session; an open transaction is rolled back. */
    close(): void;
}
