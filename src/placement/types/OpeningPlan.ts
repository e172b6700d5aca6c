import type { PlacementRequest } from "./PlacementRequest.js";
import type { PlacementTarget } from "./PlacementTarget.js";

/** The connections that one pass over the waiting statements found missing. */
export interface OpeningPlan {
    /**
     * Records the endpoints, preferred first, at which a statement found no idle connection, and whether it got one at a
     * less preferred endpoint.
     */
    add(
        request: Pick<PlacementRequest, "owner" | "priority" | "expiresAt">,
        targets: readonly PlacementTarget[],
        isServed: boolean,
    ): void;
    /** Asks the pools for the connections. */
    start(): void;
}
