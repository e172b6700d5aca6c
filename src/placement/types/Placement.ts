import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { AcquiredConnection } from "./AcquiredConnection.js";
import type { PlacementRequest } from "./PlacementRequest.js";

/** Selects an endpoint for each statement and acquires a connection to it. */
export interface Placement {
    /**
     * Waits for a connection to an endpoint that can serve the request.
     *
     * Fails with `Overloaded` when none became available in time, and with `Unreachable` when the requested endpoint
     * accepts no connection.
     */
    acquire(request: PlacementRequest): Promise<AcquiredConnection>;
    /** Records that an endpoint refused a read because it had not received the required log position. */
    recordLagging(endpoint: EndpointRecord): void;
    /** Records that an endpoint refused a statement because it had no free slot. */
    recordBusy(endpoint: EndpointRecord): void;
    /** When an endpoint last answered this VM; minus infinity if it never did. */
    lastContactAt(endpointId: string): number;
    /** Closes all idle connections. */
    stop(): Promise<void>;
}
