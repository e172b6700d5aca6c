import type { ConnectionGauge } from "./ConnectionGauge.js";
import type { ConnectionLease } from "./ConnectionLease.js";

/** The pool of connections to one endpoint. */
export interface EndpointPool {
    /**
     * Waits for a free connection.
     *
     * Fails with a typed error of the driver or `DeadlineExceeded`. After such a failure nothing was sent.
     */
    acquire(timeoutMilliseconds: number): Promise<ConnectionLease>;
    /** Closes idle connections above the current limit and opens missing warm connections. */
    adjust(): void;
    gauge(): ConnectionGauge;
    /** Closes idle connections now and those in use when they are released. */
    close(): void;
}
