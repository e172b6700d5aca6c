import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";

/** A connection acquired for one request or transaction; only the first `release` or `discard` has an effect. */
export interface AcquiredConnection {
    readonly connection: EndpointConnection;
    /** Aborted when the connection is closed. */
    readonly closedSignal: AbortSignal;
    /** Returns the connection to the pool, which resets it. */
    release(): void;
    /** Closes the connection after a failure. */
    discard(error: unknown): void;
}
