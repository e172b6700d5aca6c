import { benchmarkConstants } from "../constants.js";
import { measureHeldReads } from "../measureHeldReads/index.js";
import { measureOverload } from "../measureOverload/index.js";
import type { BenchmarkReport } from "../types/BenchmarkReport.js";

/**
 * Reports what a gateway answers under overload, with and without limits, and what held reads cost.
 *
 * @param seed Seed of all randomness, for the record: the load is evenly spaced.
 * @returns The report.
 *
 * @example
 * const report = await reportOverload(7);
 */
export async function reportOverload(seed: number): Promise<BenchmarkReport> {
    const overload = await measureOverload();
    const heldReads = await measureHeldReads();
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
            ...heldReads.map(({ isHeld, replicationLagMilliseconds, ...figures }) => ({
                arrangement: `reads at the primary, lag ${replicationLagMilliseconds} ms, ${
                    isHeld ? "held" : "at once"
                }`,
                isBaseline: !isHeld,
                figures,
            })),
        ],
    };
}
