import { OperationKind } from "../../history/types/OperationKind.js";
import { defaultPlan } from "../../load/defaultPlan/index.js";
import type { LoadOutcome } from "../../load/types/LoadOutcome.js";
import { ReadPolicy } from "../../routing/types/ReadPolicy.js";
import { changeEndpointSwitches } from "../../site/changeEndpointSwitches/index.js";
import { describeNeedlepoint } from "../../site/describeNeedlepoint/index.js";
import { offerSiteLoad } from "../../site/offerSiteLoad/index.js";
import type { Site } from "../../site/types/Site.js";
import type { SiteDescription } from "../../site/types/SiteDescription.js";
import { withSite } from "../../site/withSite/index.js";
import type { BenchmarkReport } from "../types/BenchmarkReport.js";
import type { BenchmarkRow } from "../types/BenchmarkRow.js";

const sizes = {
    lagsMilliseconds: "5 50 500",
    farBehindMilliseconds: 5_000,
    sessions: 18,
    writeShare: 0.1,
    pauseMilliseconds: 5,
    durationMilliseconds: 1_500,
} as const;

const lags: readonly number[] = sizes.lagsMilliseconds.split(" ").map(Number);

/**
 * Measures the share of reads that replicas serve, and the read latency, for each read policy and replication lag.
 *
 * The site has two regions and one database. Sessions stay in their region; 10% of their operations are writes, and
 * their reads must return their own writes. In the last arrangement of each policy one replica is far behind.
 *
 * @param seed Seed of all randomness.
 * @returns The report.
 *
 * @example
 * const report = await measureReads(7);
 */
export async function measureReads(seed: number): Promise<BenchmarkReport> {
    const rows: BenchmarkRow[] = [];
    for (const readPolicy of Object.values(ReadPolicy)) {
        rows.push(...await withSite(describeReadSite(seed, readPolicy), site => measurePolicy(site, seed, readPolicy)));
    }
    return { name: "reads", seed, sizes, rows };
}

function describeReadSite(seed: number, readPolicy: ReadPolicy): SiteDescription {
    const needlepoint = describeNeedlepoint(seed);
    const regions = needlepoint.regions.map(region => ({
        ...region,
        availabilityZones: region.availabilityZones.map(zone => ({ ...zone, vmCount: 1 })),
    }));
    return { ...needlepoint, regions, databases: ["catalog-1"], readPolicy };
}

async function measurePolicy(site: Site, seed: number, readPolicy: ReadPolicy): Promise<BenchmarkRow[]> {
    const rows: BenchmarkRow[] = [];
    const arrangements = [
        ...lags.map(lag => ({ label: `${lag} ms lag`, lags: site.plan.endpoints.map(() => lag) })),
        {
            label: "50 ms lag, one replica far behind",
            lags: site.plan.endpoints.map((_, index) => index === 1 ? sizes.farBehindMilliseconds : 50),
        },
    ];
    for (const arrangement of arrangements) {
        await Promise.all(
            site.plan.endpoints.map((endpoint, index) =>
                changeEndpointSwitches(endpoint, { replicationLagMilliseconds: arrangement.lags[index] ?? 0 })
            ),
        );
        const outcome = await offerSiteLoad(site, {
            ...defaultPlan,
            seed,
            sessionCount: sizes.sessions,
            writeShare: sizes.writeShare,
            agedShare: 0,
            lostTokenShare: 0,
            roamShare: 0,
            pauseMilliseconds: sizes.pauseMilliseconds,
            durationMilliseconds: sizes.durationMilliseconds,
        });
        rows.push({
            arrangement: `${readPolicy}, ${arrangement.label}`,
            isBaseline: readPolicy === ReadPolicy.PrimaryOnly,
            figures: toFigures(outcome),
        });
    }
    return rows;
}

function toFigures({ summary, verdict }: LoadOutcome): Record<string, number> {
    const latency = summary.latencyByKind[OperationKind.ReadList];
    return {
        replicaSharePercent: summary.replicaShare * 100,
        readP50Milliseconds: latency?.p50 ?? 0,
        readP99Milliseconds: latency?.p99 ?? 0,
        answersPerSecond: Math.round(summary.answersPerSecond),
        violations: Object.values(verdict.countByKind).reduce((sum, count) => sum + count, 0),
    };
}
