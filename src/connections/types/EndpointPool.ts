import type { AcquiredConnection } from "./AcquiredConnection.js";
import type { ConnectionGauge } from "./ConnectionGauge.js";

/** The pool of connections to one endpoint. */
export interface EndpointPool {
    /**
     * Waits for a free connection.
     *
     * Fails with a typed error of the driver or `DeadlineExceeded`. After such a failure nothing was sent.
     */
    acquire(timeoutMilliseconds: number): Promise<AcquiredConnection>;
    /** Closes idle connections above the current limit and opens missing warm connections. */
    adjustSize(): void;
    gauge(): ConnectionGauge;
    /** Closes idle connections now and those in use when they are released. */
    close(): void;
}
