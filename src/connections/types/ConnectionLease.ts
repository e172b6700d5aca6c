import type { EndpointConnection } from "../../endpoints/types/EndpointConnection.js";

/** The exclusive use of one connection for one request or one transaction. */
export interface ConnectionLease {
    readonly connection: EndpointConnection;
    /** Ends the use; the connection is reset and then used again. */
    release(): void;
    /** Ends the use after a failure; the connection is closed and never used again. */
    discard(error: unknown): void;
}
