import type { AcquiredConnection } from "./AcquiredConnection.js";
import type { ConnectionFailure } from "./ConnectionFailure.js";
import type { ConnectionGauge } from "./ConnectionGauge.js";

/** Connections of this gateway to endpoints, in one pool per endpoint. */
export interface EndpointConnections {
    /**
     * Waits for a free connection to the endpoint.
     *
     * Fails with `NotFound` if the endpoint is not configured, with a typed error of the driver, or with
     * `DeadlineExceeded`. After such a failure nothing was sent to the endpoint.
     */
    acquire(database: string, endpoint: string, timeoutMilliseconds: number): Promise<AcquiredConnection>;
    /** Calls the listener after each connection failure; returns a function that ends the subscription. */
    onConnectionFailure(listener: (failure: ConnectionFailure) => void): () => void;
    gauges(): readonly ConnectionGauge[];
    describeWork(): readonly string[];
    start(): Promise<void>;
    stop(): Promise<void>;
}
