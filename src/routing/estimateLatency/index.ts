import { routingConstants } from "../constants.js";
import type { ReadRoutingContext } from "../types/ReadRoutingContext.js";

/**
 * Estimates how long a request to an endpoint takes without waiting for a position.
 *
 * @param context Inputs to the choice of the endpoint.
 * @param endpoint Name of the endpoint.
 * @returns Milliseconds: the observed average, or an assumption by distance.
 *
 * @example
 * const milliseconds = estimateLatency(context, "stock-2");
 */
export function estimateLatency(context: ReadRoutingContext, endpoint: string): number {
    const observed = context.observations.averageLatencyMilliseconds(endpoint);
    if (observed !== undefined) {
        return observed;
    }
    const definition = context.definition.endpoints[endpoint];
    if (definition?.availabilityZone === context.localZone) {
        return routingConstants.sameZoneLatencyMilliseconds;
    }
    return definition?.region === context.localRegion
        ? routingConstants.sameRegionLatencyMilliseconds
        : routingConstants.otherRegionLatencyMilliseconds;
}
