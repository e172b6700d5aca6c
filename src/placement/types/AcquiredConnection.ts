import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { PooledSession } from "./PooledSession.js";

/** A connection to an endpoint, acquired for one statement or transaction. */
export interface AcquiredConnection {
    readonly endpoint: EndpointRecord;
    /** Whether the endpoint was the known primary when the connection was acquired. */
    readonly isPrimary: boolean;
    /** Whether the endpoint was set aside and the statement finds out if it serves again; left out means no. */
    readonly isProbe?: boolean;
    readonly pooled: PooledSession;
    /** Sends statements and waits for the answers; fails as `EndpointSession.exchange`. */
    exchange(
        statements: readonly OutgoingStatement[],
        timeoutMilliseconds: number,
    ): Promise<readonly StatementAnswer[]>;
    /** Returns the connection to its pool; it must be idle and outside a transaction. */
    release(): void;
    /** Closes the connection. */
    discard(): void;
}
