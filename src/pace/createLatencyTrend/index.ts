import type { Clock } from "../../clock/types/Clock.js";
import { paceConstants } from "../constants.js";
import type { LatencyTrend } from "../types/LatencyTrend.js";

/**
 * Creates the comparison of an endpoint's latencies with its own baseline.
 *
 * The baseline follows lower latencies at once and higher ones slowly, so that a change of the statements moves it in
 * time, and an endpoint that became slow is still seen as slow for a while.
 *
 * @param clock Source of time.
 * @returns The trend, without latencies.
 *
 * @example
 * trend.record(28);
 * trend.slowdown(); // => 1
 */
export function createLatencyTrend(clock: Clock): LatencyTrend {
    const { latencyWeight, baselineFallWeight, baselineRiseMilliseconds, baselineAnswers } = paceConstants;
    let average: number | undefined;
    let baseline: number | undefined;
    let answers = 0;
    let recordedAt = 0;

    function record(milliseconds: number): void {
        const now = clock.now();
        average = average === undefined ? milliseconds : average + latencyWeight * (milliseconds - average);
        baseline ??= milliseconds;
        const riseWeight = 1 - 0.5 ** ((now - recordedAt) / baselineRiseMilliseconds);
        const weight = milliseconds < baseline ? baselineFallWeight : Math.min(riseWeight, baselineFallWeight);
        baseline += weight * (milliseconds - baseline);
        recordedAt = now;
        answers += 1;
    }

    return {
        record,
        averageMilliseconds: () => average ?? paceConstants.assumedStatementMilliseconds,
        slowdown: () =>
            average === undefined || baseline === undefined || answers < baselineAnswers
                ? 1
                : average / Math.max(baseline, paceConstants.minimumStatementMilliseconds),
        restart: () => {
            average = undefined;
        },
    };
}
