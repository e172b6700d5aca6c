import { summarizeSamples } from "../../statistics/summarizeSamples/index.js";
import { createConfigurationFleet } from "../../testing/createConfigurationFleet/index.js";
import type { ConfigurationFleet } from "../../testing/types/ConfigurationFleet.js";
import { measureVersionApplication } from "../measureVersionApplication/index.js";
import type { BenchmarkReport } from "../types/BenchmarkReport.js";
import type { BenchmarkRow } from "../types/BenchmarkRow.js";

const fleetSizes = [8, 32, 64];
const versionsPerFleet = 30;
const idleMilliseconds = 10_000;
const largePatchBytes = 100_000;
const databaseCounts = [3, 1_000, 11_000];

/**
 * Measures how fast a configuration version comes into force in every gateway, and how many store calls it needs.
 *
 * The gateways run in one process, connected over loopback with the dissemination service; the store is in memory.
 *
 * @param seed Seed of all randomness.
 * @returns Time from submission until in force everywhere, store calls by method, and processor time of one version.
 *
 * @example
 * const report = await measureConfiguration(1);
 */
export async function measureConfiguration(seed: number): Promise<BenchmarkReport> {
    const rows: BenchmarkRow[] = [];
    for (const size of fleetSizes) {
        rows.push(await measureFleet(size, seed));
    }
    rows.push(...databaseCounts.map(measureVersionApplication));
    return {
        name: "configuration",
        seed,
        sizes: { fleetSizes: fleetSizes.join(" "), versionsPerFleet, idleMilliseconds, largePatchBytes },
        rows,
        remarks: ["All gateways of a fleet share one process and one core; the store answers in less than 1 ms."],
    };
}

async function measureFleet(size: number, seed: number): Promise<BenchmarkRow> {
    const fleet = createConfigurationFleet(seed, { hasRealDissemination: true });
    try {
        const joined: Awaited<ReturnType<ConfigurationFleet["add"]>>[] = [];
        for (let count = 0; count < size; count += 1) {
            joined.push(await fleet.add());
        }
        const startCalls = sumCalls(fleet);
        const before = new Map(fleet.platform.calls);
        await new Promise(resolve => setTimeout(resolve, idleMilliseconds));
        const idleCalls = sumCalls(fleet) - sumOf(before);
        const small: number[] = [];
        const large: number[] = [];
        const beforeVersions = new Map(fleet.platform.calls);
        for (let version = 0; version < versionsPerFleet; version += 1) {
            const submitter = joined[version % size]!.configuration;
            small.push(await measureVersion(fleet, submitter, `{ "limits": { "requestBytes": ${version + 1} } }`));
        }
        const callsPerVersion = listCallsPerVersion(beforeVersions, fleet.platform.calls);
        for (let version = 0; version < 5; version += 1) {
            const submitter = joined[version % size]!.configuration;
            large.push(await measureVersion(fleet, submitter, createLargePatch(version)));
        }
        return {
            arrangement: `${size} gateways in 3 availability zones`,
            isBaseline: size === fleetSizes[0],
            figures: {
                inForceP50Milliseconds: summarizeSamples(small).p50,
                inForceMaximumMilliseconds: summarizeSamples(small).maximum,
                largePatchInForceP50Milliseconds: summarizeSamples(large).p50,
                largePatchInForceMaximumMilliseconds: summarizeSamples(large).maximum,
                storeCallsAtStart: startCalls,
                idleStoreCallsPerSecond: idleCalls / idleMilliseconds * 1_000,
                ...callsPerVersion,
            },
        };
    }
    finally {
        await fleet.stop();
    }
}

async function measureVersion(
    fleet: ConfigurationFleet,
    submitter: Awaited<ReturnType<ConfigurationFleet["add"]>>["configuration"],
    patchText: string,
): Promise<number> {
    const start = performance.now();
    const against = submitter.current().version;
    const { version } = await submitter.submitPatch({
        against,
        patchText,
        patchId: `benchmark-${against}`,
        author: "benchmark",
    });
    await fleet.waitForVersion(version);
    return performance.now() - start;
}

function createLargePatch(number: number): string {
    const keyDigest = number.toString(16).padStart(64, "0");
    const entryBytes = 120;
    const names = Array.from({ length: largePatchBytes / entryBytes }, (_, index) => `caller-${number}-${index}`);
    const callers = Object.fromEntries(names.map(name => [name, { keyDigest, databases: [] }]));
    return JSON.stringify({ tokenSecret: "secret-of-the-benchmark", callers });
}

function sumCalls(fleet: ConfigurationFleet): number {
    return sumOf(fleet.platform.calls);
}

function sumOf(calls: ReadonlyMap<string, number>): number {
    return [...calls.values()].reduce((sum, count) => sum + count, 0);
}

function listCallsPerVersion(
    before: ReadonlyMap<string, number>,
    after: ReadonlyMap<string, number>,
): Readonly<Record<string, number>> {
    return Object.fromEntries(
        [...after].map(([method, count]) => [
            `${method}CallsPerVersion`,
            (count - (before.get(method) ?? 0)) / versionsPerFleet,
        ]),
    );
}
