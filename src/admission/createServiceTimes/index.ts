import { admissionConstants } from "../constants.js";
import type { ServiceTimes } from "../types/ServiceTimes.js";

/**
 * Creates moving means of service times, over all callers and for each caller.
 *
 * @returns The service times, without measurements.
 *
 * @example
 * serviceTimes.record("clover", clock.now() - startedAt);
 */
export function createServiceTimes(): ServiceTimes {
    const {
        serviceTimeWeight,
        minimumCost,
        maximumCost,
        maximumTrackedCallers,
    } = admissionConstants;
    const meansByCaller = new Map<string, number>();
    let mean: number | undefined;

    function record(caller: string, milliseconds: number): void {
        const callerMean = updateMean(meansByCaller.get(caller), milliseconds);
        // Deleting first moves the caller to the end of the map, so that the first key is the least recently used.
        meansByCaller.delete(caller);
        meansByCaller.set(caller, callerMean);
        if (meansByCaller.size > maximumTrackedCallers) {
            meansByCaller.delete(meansByCaller.keys().next().value!);
        }
        mean = updateMean(mean, milliseconds);
    }

    function updateMean(previous: number | undefined, milliseconds: number): number {
        return previous === undefined ? milliseconds : previous + serviceTimeWeight * (milliseconds - previous);
    }

    function relativeCost(caller: string): number {
        const callerMean = meansByCaller.get(caller);
        if (callerMean === undefined || mean === undefined || mean === 0) {
            return 1;
        }
        return Math.min(Math.max(callerMean / mean, minimumCost), maximumCost);
    }

    return { record, mean: () => mean ?? 0, relativeCost };
}
