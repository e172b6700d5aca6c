import type { AcquiredConnection } from "./AcquiredConnection.js";
import type { PlacementRequest } from "./PlacementRequest.js";

/** The statements that wait for a connection to an endpoint of one group. */
export interface WaitingStatements {
    /** Waits for a connection; fails with `Overloaded` when none became available in time. */
    wait(request: PlacementRequest): Promise<AcquiredConnection>;
    /** Gives the connections that are available to waiting statements. */
    dispatch(): void;
    countWaiting(): number;
}
