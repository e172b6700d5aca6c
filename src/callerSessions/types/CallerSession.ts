import type { ReceivedStatement } from "./ReceivedStatement.js";

/** One caller's session, which runs its statements. */
export interface CallerSession {
    /** Whether a transaction is open, failed ones included. */
    isInTransaction(): boolean;
    /** Whether the session runs no more statements; what was received is still answered. */
    isOver(): boolean;
    /** Runs a statement and sends its answer. */
    handle(received: ReceivedStatement): Promise<void>;
    /** Rolls back an open transaction; the answer to the caller's next statement reports it. */
    abandonTransaction(reason: string): void;
    /** Ends the session; an open transaction is rolled back. */
    end(reason: string): void;
}
