import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";

/**
 * A connection acquired from a pool for the exclusive use of one request or transaction.
 *
 * Only the first call of `release` or `discard` has an effect.
 */
export interface AcquiredConnection {
    readonly connection: EndpointConnection;
    /** Aborted when the connection is closed. */
    readonly closedSignal: AbortSignal;
    /** Returns the connection to the pool, which resets it before its next use. */
    release(): void;
    /** Closes the connection after a failure, so that it is not used again. */
    discard(error: unknown): void;
}
