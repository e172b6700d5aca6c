import type { Clock } from "../../clock/types/Clock.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";
import { requestConstants } from "../constants.js";
import type { EndpointCheck } from "../types/EndpointCheck.js";

/**
 * Creates the check whether a leaving primary is within its grace period, in which it still accepts work.
 *
 * Without the grace period, writes would stop as soon as the primary announces that it is leaving, before another
 * endpoint is promoted.
 *
 * @param clock Source of time.
 * @param topology Source of the current primaries.
 * @returns A function that returns whether the leaving endpoint still accepts work.
 *
 * @example
 * const isInGracePeriod = createLeavingGracePeriod(clock, topology);
 */
export function createLeavingGracePeriod(clock: Clock, topology: TopologyService): (check: EndpointCheck) => boolean {
    const leavingSince = new Map<string, number>();

    return ({ database, endpoint }) => {
        if (topology.groupOf(database)?.primary !== endpoint) {
            leavingSince.delete(endpoint);
            return false;
        }
        const since = leavingSince.get(endpoint) ?? clock.now();
        leavingSince.set(endpoint, since);
        return clock.now() - since < requestConstants.leavingPrimaryGraceMilliseconds;
    };
}
