import type { Clock } from "../../clock/types/Clock.js";
import { paceConstants } from "../constants.js";
import type { LatencyTrend } from "../types/LatencyTrend.js";

/**
 * Creates the comparison of an endpoint's latencies with its own baseline.
 *
 * The baseline is a long mean, so that a mix of short and long statements is not taken for a slow endpoint, and a change
 * of the statements moves it in time.
 *
 * @param clock Source of time.
 * @returns The trend, without latencies.
 *
 * @example
 * trend.record(28);
 * trend.slowdown(); // => 1
 */
export function createLatencyTrend(clock: Clock): LatencyTrend {
    const { latencyWeight, baselineHalfLifeMilliseconds, baselineAnswers } = paceConstants;
    let average: number | undefined;
    let baseline = 0;
    let answers = 0;
    let recordedAt = 0;

    function record(milliseconds: number): void {
        const now = clock.now();
        average = average === undefined ? milliseconds : average + latencyWeight * (milliseconds - average);
        answers += 1;
        const agedWeight = 1 - 0.5 ** ((now - recordedAt) / baselineHalfLifeMilliseconds);
        const weight = answers <= baselineAnswers ? 1 / answers : Math.min(agedWeight, 1 / baselineAnswers);
        baseline += weight * (milliseconds - baseline);
        recordedAt = now;
    }

    return {
        record,
        averageMilliseconds: () => average ?? paceConstants.assumedStatementMilliseconds,
        slowdown: () =>
            average === undefined || answers < baselineAnswers
                ? 1
                : average / Math.max(baseline, paceConstants.minimumStatementMilliseconds),
        restart: () => {
            average = undefined;
        },
    };
}
