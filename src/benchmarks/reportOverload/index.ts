import { benchmarkConstants } from "../constants.js";
import { measureConfirmedReads } from "../measureConfirmedReads/index.js";
import { measureOverload } from "../measureOverload/index.js";
import type { BenchmarkReport } from "../types/BenchmarkReport.js";

/**
 * Reports the answers of a gateway under overload, with and without limits, and the latency of reads at a primary that
 * wait for confirmation.
 *
 * @param seed Seed for the report only: the load is evenly spaced and uses no randomness.
 * @returns The report.
 *
 * @example
 * const report = await reportOverload(7);
 */
export async function reportOverload(seed: number): Promise<BenchmarkReport> {
    const overload = await measureOverload();
    const confirmedReads = await measureConfirmedReads();
    const { slots, serviceMilliseconds, deadlineMilliseconds, quietShare } = benchmarkConstants;
    return {
        name: "overload",
        seed,
        sizes: { slots, serviceMilliseconds, deadlineMilliseconds, quietShare },
        rows: [
            ...overload.map(({ isLimiting, loadFactor, ...figures }) => ({
                arrangement: `load ${loadFactor}x, ${isLimiting ? "limited" : "no limits"}`,
                isBaseline: !isLimiting,
                figures,
            })),
            ...confirmedReads.map(({ isConfirmed, replicationLagMilliseconds, ...figures }) => ({
                arrangement: `reads at the primary, lag ${replicationLagMilliseconds} ms, ${
                    isConfirmed ? "held" : "at once"
                }`,
                isBaseline: !isConfirmed,
                figures,
            })),
        ],
    };
}
