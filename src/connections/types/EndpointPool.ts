import type { ConnectionGauge } from "./ConnectionGauge.js";
import type { ConnectionLease } from "./ConnectionLease.js";

/** The connections to one endpoint. */
export interface EndpointPool {
    /** Waits for a connection; fails with a typed error of the driver or `DeadlineExceeded`. Nothing was sent then. */
    acquire(timeoutMilliseconds: number): Promise<ConnectionLease>;
    /** Opens or closes idle connections so that their number fits the present limit. */
    adjust(): void;
    gauge(): ConnectionGauge;
    /** Closes idle connections now and those in use when they are given back. */
    close(): void;
}
