import { build } from "hdr-histogram-js";
import type { GapFigures } from "../types/GapFigures.js";

/**
 * Summarizes write gaps.
 *
 * @param gapsMilliseconds The gaps, in milliseconds.
 * @returns Count, median, 99th percentile and maximum.
 *
 * @example
 * const { p99Milliseconds } = summarizeGaps([48, 51, 60]);
 */
export function summarizeGaps(gapsMilliseconds: readonly number[]): GapFigures {
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    gapsMilliseconds.forEach(gap => histogram.recordValue(Math.round(gap)));
    return {
        count: gapsMilliseconds.length,
        medianMilliseconds: histogram.getValueAtPercentile(50),
        p99Milliseconds: histogram.getValueAtPercentile(99),
        longestMilliseconds: histogram.maxValue,
    };
}
