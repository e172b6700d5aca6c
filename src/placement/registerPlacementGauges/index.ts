import type { Metrics } from "../../metrics/types/Metrics.js";
import { countWaitingByPriority } from "../countWaitingByPriority/index.js";
import type { EndpointSessionPool } from "../types/EndpointSessionPool.js";
import type { WaitingStatements } from "../types/WaitingStatements.js";

/** What the gauges read. */
interface PlacementState {
    readonly listWaiting: () => readonly WaitingStatements[];
    readonly listPools: () => readonly EndpointSessionPool[];
}

/**
 * Registers the gauges of waiting statements and open connections.
 *
 * @param metrics The metrics of the process.
 * @param state The waiting statements of all groups, and the pools of all endpoints.
 *
 * @example
 * registerPlacementGauges(metrics, { listWaiting, listPools });
 */
export function registerPlacementGauges(
    metrics: Pick<Metrics, "registerGauge">,
    { listWaiting, listPools }: PlacementState,
): void {
    metrics.registerGauge("tarragonpost_waiting_statements", "Statements that wait for a connection.", () => {
        return listWaiting().reduce((sum, waiting) => sum + waiting.countWaiting(), 0);
    });
    metrics.registerGauge(
        "tarragonpost_waiting_by_priority",
        "Statements that wait for a connection, by priority.",
        () => countWaitingByPriority(listWaiting()),
        "priority",
    );
    metrics.registerGauge("tarragonpost_open_connections", "Connections to endpoints that are open.", () => {
        return listPools().reduce((sum, pool) => sum + pool.openCount(), 0);
    });
}
