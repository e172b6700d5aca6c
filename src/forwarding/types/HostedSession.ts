import type { ForwardedAnswer } from "./ForwardedAnswer.js";
import type { ForwardedStatement } from "./ForwardedStatement.js";

/** A session that another VM, its host, serves. */
export interface HostedSession {
    /** Runs one statement; fails when the connection to the host is lost before it has answered. */
    run(statement: Omit<ForwardedStatement, "sessionId">): Promise<ForwardedAnswer>;
    /** Calls the listener once, when the host has closed the session or the connection to the host is lost. */
    onClose(listener: () => void): void;
    /** Ends the session; an open transaction is rolled back. */
    close(): void;
}
