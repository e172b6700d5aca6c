import type { LogPosition } from "./LogPosition.js";
import type { OutgoingStatement } from "./OutgoingStatement.js";
import type { StatementAnswer } from "./StatementAnswer.js";

/** One connection to an endpoint. */
export interface EndpointSession {
    /** Log position in the newest answer that contained one; undefined before the first. */
    readonly position: LogPosition | undefined;
    readonly isClosed: boolean;
    /**
     * Sends statements in one batch and waits for all their answers.
     *
     * Fails with `DeadlineExceeded` at the time limit and with `ConnectionClosed` when the connection breaks; the
     * connection is closed in both cases.
     */
    exchange(
        statements: readonly OutgoingStatement[],
        timeoutMilliseconds: number,
    ): Promise<readonly StatementAnswer[]>;
    close(): void;
    /** Calls the listener once, when the connection is closed. */
    onClose(listener: () => void): void;
}
