import { benchmarkConstants } from "../constants.js";
import { measureIdleGateways } from "../measureIdleGateways/index.js";
import { measureMembership } from "../measureMembership/index.js";
import type { BenchmarkReport } from "../types/BenchmarkReport.js";
import type { BenchmarkRow } from "../types/BenchmarkRow.js";

const {
    controlSites,
    controlFleetSizes,
    controlStabilizationMilliseconds,
    controlObservedMilliseconds,
} = benchmarkConstants;

/**
 * Measures the cost of the control plane: complete gateway processes without load, and fleets with membership only.
 *
 * @param seed Seed of all randomness.
 * @returns The report; the smallest site is the baseline for the growth with the size.
 *
 * @example
 * const report = await measureControl(7);
 */
export async function measureControl(seed: number): Promise<BenchmarkReport> {
    const rows: BenchmarkRow[] = [];
    for (const [index, size] of controlSites.entries()) {
        const { gateways, databases, ...figures } = await measureIdleGateways({
            ...size,
            seed,
            stabilizationMilliseconds: controlStabilizationMilliseconds,
            observedMilliseconds: controlObservedMilliseconds,
        });
        rows.push({
            arrangement: `gateway processes: ${gateways} gateways, ${databases} databases`,
            isBaseline: index === 0,
            figures: { ...figures },
        });
    }
    for (const gateways of controlFleetSizes) {
        const { bytesPerSecond, coreShare, detectionMilliseconds } = await measureMembership({
            gateways,
            zones: 3,
            stabilizationSeconds: 2,
            seconds: 3,
            randomSeed: seed,
        });
        rows.push({
            arrangement: `membership alone, one process: ${gateways} gateways`,
            isBaseline: false,
            figures: { bytesPerSecond, coreShare, detectionMilliseconds },
        });
    }
    return {
        name: "control",
        seed,
        sizes: {
            settleMilliseconds: controlStabilizationMilliseconds,
            observedMilliseconds: controlObservedMilliseconds,
        },
        rows,
        remarks: ["Bytes of processes are those of their read and write calls, sockets and files together."],
    };
}
