import type { EndpointSession } from "../../statements/types/EndpointSession.js";

/** A connection to an endpoint, and what was set on it. */
export interface PooledSession {
    readonly session: EndpointSession;
    /** The life of the endpoint that it leads to. */
    readonly endpointStartedAt: number;
    /** Values that are set on the connection. */
    readonly values: Map<string, string>;
    /** Names under which statements are prepared on the connection. */
    readonly prepared: Set<string>;
}
