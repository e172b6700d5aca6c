import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { EndpointLease } from "./EndpointLease.js";
import type { PlacementRequest } from "./PlacementRequest.js";

/** Places statements on endpoints. */
export interface Placement {
    /**
     * Waits for a connection to an endpoint that can serve the request.
     *
     * Fails with `Overloaded` when none came free in time, and with `Unreachable` when there is no endpoint to wait for.
     */
    acquire(request: PlacementRequest): Promise<EndpointLease>;
    /** The endpoint lacked a position that was asked for. */
    noteLagging(endpoint: EndpointRecord): void;
    /** The endpoint had no slot. */
    noteBusy(endpoint: EndpointRecord): void;
    /** When an endpoint answered this VM last; never: minus infinity. */
    answeredAt(endpointId: string): number;
    /** Closes all idle connections. */
    stop(): Promise<void>;
}
