import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { placementConstants } from "../constants.js";

/** Location of this VM. */
interface VmLocation {
    readonly availabilityZone: string;
    readonly region: string;
    readonly regionsByZone: Readonly<Record<string, string>>;
}

/** Estimate of an endpoint's latency. */
interface LatencyEstimate {
    /** Records the latency of a statement. */
    recordLatency(milliseconds: number): void;
    /** Expected latency of a statement that is sent now, in milliseconds. */
    expectedMilliseconds(endpoint: EndpointRecord): number;
}

/**
 * Creates the estimate of one endpoint's latency, from its distance and the observed latencies.
 *
 * An observation loses weight as it ages, so that an endpoint that was slow gets reads again.
 *
 * @param clock Source of time.
 * @param vmLocation Location of this VM.
 * @returns The estimate, based on the distance until a latency is recorded.
 *
 * @example
 * latencyEstimate.recordLatency(28);
 */
export function createLatencyEstimate(clock: Clock, vmLocation: VmLocation): LatencyEstimate {
    const { latencyWeight, latencyHalfLifeMilliseconds } = placementConstants;
    let average: number | undefined;
    let observedAt = 0;

    function assumedMilliseconds({ address: { availabilityZone } }: EndpointRecord): number {
        if (availabilityZone === vmLocation.availabilityZone) {
            return placementConstants.sameZoneMilliseconds;
        }
        return vmLocation.regionsByZone[availabilityZone] === vmLocation.region
            ? placementConstants.sameRegionMilliseconds
            : placementConstants.otherRegionMilliseconds;
    }

    function recordLatency(milliseconds: number): void {
        average = average === undefined ? milliseconds : average + latencyWeight * (milliseconds - average);
        observedAt = clock.now();
    }

    function expectedMilliseconds(endpoint: EndpointRecord): number {
        const assumed = assumedMilliseconds(endpoint);
        if (average === undefined) {
            return assumed;
        }
        const weight = 0.5 ** ((clock.now() - observedAt) / latencyHalfLifeMilliseconds);
        return assumed + weight * Math.max(average - assumed, 0);
    }

    return { recordLatency, expectedMilliseconds };
}
