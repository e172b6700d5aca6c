import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";

/** The exclusive use of one connection for one request or one transaction; the first call that ends it counts. */
export interface ConnectionLease {
    readonly connection: EndpointConnection;
    /** Aborted when the connection is over. */
    readonly lost: AbortSignal;
    /** Ends the use; the connection is reset and then used again. */
    release(): void;
    /** Ends the use after a failure; the connection is closed and never used again. */
    discard(error: unknown): void;
}
