import type { createLatencyEstimate } from "../createLatencyEstimate/index.js";
import type { EndpointSessionPool } from "./EndpointSessionPool.js";

/** Local state of one endpoint. */
export interface PlacementTarget {
    readonly pool: EndpointSessionPool;
    readonly latencyEstimate: ReturnType<typeof createLatencyEstimate>;
    /** Time until which no read is sent to the endpoint, because it lagged or had no free slot. */
    pausedUntil: number;
    /** Length of the last pause because of lag, in milliseconds; 0 after an answer. */
    lagPauseMilliseconds: number;
    /** When the endpoint last answered this VM. */
    lastContactAt: number;
}
