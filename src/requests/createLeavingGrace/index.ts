import type { Clock } from "../../clock/types/Clock.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";
import { requestConstants } from "../constants.js";
import type { EndpointCheck } from "../types/EndpointCheck.js";

/**
 * Creates the rule by which a leaving primary keeps taking work for a moment, until it is succeeded.
 *
 * Without it writes would stop at the first sign of leaving, before there is another primary.
 *
 * @param clock Source of time.
 * @param topology Knows the primaries.
 * @returns A function that tells whether the leaving endpoint still takes work.
 *
 * @example
 * const isInGrace = createLeavingGrace(clock, topology);
 */
export function createLeavingGrace(clock: Clock, topology: TopologyService): (check: EndpointCheck) => boolean {
    const firstSeenAt = new Map<string, number>();

    return ({ database, endpoint }) => {
        if (topology.groupOf(database)?.primary !== endpoint) {
            firstSeenAt.delete(endpoint);
            return false;
        }
        const seenAt = firstSeenAt.get(endpoint) ?? clock.now();
        firstSeenAt.set(endpoint, seenAt);
        return clock.now() - seenAt < requestConstants.leavingPrimaryGraceMilliseconds;
    };
}
