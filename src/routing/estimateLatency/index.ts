import { routingConstants } from "../constants.js";
import type { ReadRoute } from "../types/ReadRoute.js";

/**
 * Estimates how long a request to an endpoint takes without waiting for a position.
 *
 * @param route What the choice depends on.
 * @param endpoint Name of the endpoint.
 * @returns Milliseconds: the observed average, or an assumption by distance.
 *
 * @example
 * const milliseconds = estimateLatency(route, "stock-2");
 */
export function estimateLatency(route: ReadRoute, endpoint: string): number {
    const observed = route.observations.expectedLatencyMilliseconds(endpoint);
    if (observed !== undefined) {
        return observed;
    }
    const definition = route.definition.endpoints[endpoint];
    if (definition?.availabilityZone === route.localZone) {
        return routingConstants.sameZoneLatencyMilliseconds;
    }
    return definition?.region === route.localRegion
        ? routingConstants.sameRegionLatencyMilliseconds
        : routingConstants.otherRegionLatencyMilliseconds;
}
