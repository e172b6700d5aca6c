import { admissionConstants } from "../constants.js";
import type { ServiceTimes } from "../types/ServiceTimes.js";

/**
 * Creates moving means of service times, over all callers and for each caller.
 *
 * @returns The service times, with nothing measured.
 *
 * @example
 * serviceTimes.add("clover", clock.now() - startedAt);
 */
export function createServiceTimes(): ServiceTimes {
    const { serviceTimeWeight, leastCost, greatestCost, rememberedCallers } = admissionConstants;
    const meansByCaller = new Map<string, number>();
    let mean: number | undefined;

    function add(caller: string, milliseconds: number): void {
        const callerMean = move(meansByCaller.get(caller), milliseconds);
        // Deleting first moves the caller to the end of the map, so the first key is the one unused for longest.
        meansByCaller.delete(caller);
        meansByCaller.set(caller, callerMean);
        if (meansByCaller.size > rememberedCallers) {
            meansByCaller.delete(meansByCaller.keys().next().value!);
        }
        mean = move(mean, milliseconds);
    }

    function move(previous: number | undefined, milliseconds: number): number {
        return previous === undefined ? milliseconds : previous + serviceTimeWeight * (milliseconds - previous);
    }

    function relativeCost(caller: string): number {
        const callerMean = meansByCaller.get(caller);
        if (callerMean === undefined || mean === undefined || mean === 0) {
            return 1;
        }
        return Math.min(Math.max(callerMean / mean, leastCost), greatestCost);
    }

    return { add, mean: () => mean ?? 0, relativeCost };
}
