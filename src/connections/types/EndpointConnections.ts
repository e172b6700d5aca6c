import type { ConnectionGauge } from "./ConnectionGauge.js";
import type { ConnectionLease } from "./ConnectionLease.js";
import type { EndpointTrouble } from "./EndpointTrouble.js";

/** The connections of this gateway to endpoints, one pool for each. */
export interface EndpointConnections {
    /**
     * Waits for a connection to the endpoint.
     *
     * Fails with `NotFound` when the endpoint is not configured, with a typed error of the driver, or with
     * `DeadlineExceeded`. Nothing was sent then.
     */
    acquire(database: string, endpoint: string, timeoutMilliseconds: number): Promise<ConnectionLease>;
    /** Calls the listener for each sign that an endpoint may have failed; returns a function that ends this. */
    onEndpointTrouble(listener: (trouble: EndpointTrouble) => void): () => void;
    gauges(): readonly ConnectionGauge[];
    describeWork(): readonly string[];
    start(): Promise<void>;
    stop(): Promise<void>;
}
