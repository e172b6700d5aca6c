import type { AcquiredConnection } from "./AcquiredConnection.js";
import type { PlacementRequest } from "./PlacementRequest.js";

/** The statements that wait for a connection to an endpoint of one group. */
export interface WaitingStatements {
    /**
     * Waits for a connection; fails with `Overloaded` when none became available in time, and at once when none is
     * expected to.
     */
    wait(request: PlacementRequest): Promise<AcquiredConnection>;
    /** Gives the connections that are available to waiting statements. */
    dispatch(): void;
    /** Records for how long a request held its connection, in milliseconds. */
    recordHeld(request: PlacementRequest, isPrimary: boolean, milliseconds: number): void;
    countWaiting(): number;
    /** Number of waiting statements by priority. */
    countByPriority(): ReadonlyMap<number, number>;
}
