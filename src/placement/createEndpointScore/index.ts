import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { placementConstants } from "../constants.js";

/** Where the asking VM stands. */
interface Place {
    readonly availabilityZone: string;
    readonly region: string;
    readonly regionsByZone: Readonly<Record<string, string>>;
}

/** What is expected of an endpoint's latency. */
interface EndpointScore {
    /** Takes in how long a statement took. */
    noteLatency(milliseconds: number): void;
    /** Expected latency of a statement that is sent now. */
    expectedMilliseconds(endpoint: EndpointRecord): number;
}

/**
 * Creates the expectation of one endpoint's latency, with queueing and distance.
 *
 * An observation loses weight as it ages, so that an endpoint that was slow is tried again.
 *
 * @param clock Source of time.
 * @param place Where the asking VM stands.
 * @returns The expectation, resting on the distance alone at first.
 *
 * @example
 * score.noteLatency(28);
 */
export function createEndpointScore(clock: Clock, place: Place): EndpointScore {
    const { latencyWeight, latencyHalfLifeMilliseconds } = placementConstants;
    let average: number | undefined;
    let observedAt = 0;

    function assumedMilliseconds({ address: { availabilityZone } }: EndpointRecord): number {
        if (availabilityZone === place.availabilityZone) {
            return placementConstants.sameZoneMilliseconds;
        }
        return place.regionsByZone[availabilityZone] === place.region
            ? placementConstants.sameRegionMilliseconds
            : placementConstants.otherRegionMilliseconds;
    }

    function noteLatency(milliseconds: number): void {
        average = average === undefined ? milliseconds : average + latencyWeight * (milliseconds - average);
        observedAt = clock.now();
    }

    function expectedMilliseconds(endpoint: EndpointRecord): number {
        const assumed = assumedMilliseconds(endpoint);
        if (average === undefined) {
            return assumed;
        }
        const trust = 0.5 ** ((clock.now() - observedAt) / latencyHalfLifeMilliseconds);
        return assumed + trust * Math.max(average - assumed, 0);
    }

    return { noteLatency, expectedMilliseconds };
}
