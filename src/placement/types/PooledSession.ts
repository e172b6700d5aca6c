import type { EndpointSession } from "../../statements/types/EndpointSession.js";

/** A connection to an endpoint, and the state that was set on it. */
export interface PooledSession {
    readonly session: EndpointSession;
    /** Start time of the endpoint process that accepted the connection. */
    readonly endpointStartedAt: number;
    /** When the connection was released last, on this VM's clock in milliseconds. */
    idleSince: number;
    /** Values that are set on the connection. */
    readonly values: Map<string, string>;
    /** Names under which statements are prepared on the connection. */
    readonly prepared: Set<string>;
}
