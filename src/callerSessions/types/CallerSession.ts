import type { ReceivedStatement } from "./ReceivedStatement.js";

/** The statements of one caller's session. */
export interface CallerSession {
    /** Whether a transaction is open, failed ones included. */
    isInTransaction(): boolean;
    /** Runs a statement and sends its answer. */
    handle(received: ReceivedStatement): Promise<void>;
    /** Rolls back an open transaction; the caller learns of it with its next statement. */
    abandonTransaction(reason: string): void;
    /** Ends the session; an open transaction is rolled back. */
    end(reason: string): void;
}
