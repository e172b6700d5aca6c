import { classifyOwner } from "../classifyOwner/index.js";
import type { ConnectionMetrics } from "../types/ConnectionMetrics.js";
import type { EndpointSessionPool } from "../types/EndpointSessionPool.js";

/**
 * Counts a statement that waits while its owner has no open connection to any endpoint that may serve it.
 *
 * @param metrics The metrics.
 * @param owner The owner of the statement; one of this program is not counted.
 * @param listPools Returns the pools of the endpoints that may serve it.
 *
 * @example
 * countOpeningWait(metrics, request.owner, () => pools);
 */
export function countOpeningWait(
    metrics: ConnectionMetrics,
    owner: string | undefined,
    listPools: () => readonly Pick<EndpointSessionPool, "openCount">[],
): void {
    if (owner !== undefined && listPools().every(pool => pool.openCount(owner) === 0)) {
        metrics.countOpeningWait?.(classifyOwner(owner));
    }
}
