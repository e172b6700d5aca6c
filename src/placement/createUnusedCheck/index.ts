import type { Clock } from "../../clock/types/Clock.js";
import { placementConstants } from "../constants.js";
import type { EndpointSessionPool } from "../types/EndpointSessionPool.js";

/**
 * Creates the check for unused connections of all pools. One timer serves them all, as long as connections are open.
 *
 * @param clock Source of time.
 * @param listPools Returns the pools.
 * @returns Schedules the check, unless it is scheduled already.
 *
 * @example
 * const scheduleUnusedCheck = createUnusedCheck(clock, () => [...pools.values()]);
 */
export function createUnusedCheck(
    clock: Clock,
    listPools: () => readonly Pick<EndpointSessionPool, "closeUnused" | "openCount">[],
): () => void {
    let isScheduled = false;

    function check(): void {
        isScheduled = false;
        const pools = listPools();
        pools.forEach(pool => pool.closeUnused());
        if (pools.some(pool => pool.openCount() > 0)) {
            schedule();
        }
    }

    function schedule(): void {
        if (!isScheduled) {
            isScheduled = true;
            clock.startTimer(placementConstants.unusedMilliseconds, check);
        }
    }

    return schedule;
}
