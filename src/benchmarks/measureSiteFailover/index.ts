import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { defaultPlan } from "../../load/defaultPlan/index.js";
import { measureWriteGaps } from "../../load/measureWriteGaps/index.js";
import type { CauseFaults } from "../../load/types/CauseFaults.js";
import type { LoadFault } from "../../load/types/LoadFault.js";
import type { LoadOutcome } from "../../load/types/LoadOutcome.js";
import { changeEndpointSwitches } from "../../site/changeEndpointSwitches/index.js";
import { changePlatformSwitches } from "../../site/changePlatformSwitches/index.js";
import { describeSmallSite } from "../../site/describeSmallSite/index.js";
import { killPrimary } from "../../site/killPrimary/index.js";
import { offerSiteLoad } from "../../site/offerSiteLoad/index.js";
import type { Site } from "../../site/types/Site.js";
import { waitForFollowers } from "../../site/waitForFollowers/index.js";
import { withSite } from "../../site/withSite/index.js";
import { OutageKind } from "../../standIns/platform/types/OutageKind.js";
import { summarizeSamples } from "../../statistics/summarizeSamples/index.js";
import type { BenchmarkReport } from "../types/BenchmarkReport.js";
import type { BenchmarkRow } from "../types/BenchmarkRow.js";

const sizes = {
    killsPerArrangement: 15,
    sessions: 12,
    writeShare: 0.5,
    pauseMilliseconds: 5,
    settleMilliseconds: 300,
    minimumMilliseconds: 2_000,
} as const;

/**
 * Measures at the callers how long writes are unavailable after the primary is killed, with the platform up and down.
 *
 * A killed endpoint is restarted and follows the new primary before the next kill.
 *
 * @param seed Seed of all randomness.
 * @returns The report.
 * @throws TarragonpostError when the history of the run violates a guarantee.
 *
 * @example
 * const report = await measureSiteFailover(7);
 */
export function measureSiteFailover(seed: number): Promise<BenchmarkReport> {
    return withSite(describeSmallSite(seed), async site => {
        const up = await measureKills(site, seed);
        await changePlatformSwitches(site.plan, { outage: OutageKind.Hanging });
        const down = await measureKills(site, seed + 1);
        return {
            name: "failover",
            seed,
            sizes,
            rows: [
                toRow("primary killed, platform up", up),
                toRow("primary killed, platform down", down),
            ],
            remarks: [up, down].flatMap(outcome => [describeVerdict(outcome), describeGaps(outcome)]),
        };
    });
}

function measureKills(site: Site, seed: number): Promise<LoadOutcome> {
    const clock = createSystemClock();
    const [database = ""] = site.target.databases;
    const causeFaults: CauseFaults = async recordFault => {
        for (let kill = 0; kill < sizes.killsPerArrangement; kill += 1) {
            await clock.sleep(sizes.settleMilliseconds);
            const killed = await killPrimary(
                site.plan,
                database,
                fault => recordFault({ ...fault, text: `kill ${kill}` }),
            );
            await waitForFollowers(site.plan, database, 1);
            await changeEndpointSwitches(killed, { isKilled: false });
            await waitForFollowers(site.plan, database, 2);
        }
    };
    const plan = {
        ...defaultPlan,
        seed,
        sessionCount: sizes.sessions,
        writeShare: sizes.writeShare,
        pauseMilliseconds: sizes.pauseMilliseconds,
        durationMilliseconds: sizes.minimumMilliseconds,
    };
    return offerSiteLoad(site, plan, causeFaults);
}

/** Lists the longest write gap of each kill, measured until the next kill. */
function listGaps({ run }: LoadOutcome): number[] {
    return run.faults.map((fault: LoadFault, index) => {
        const endedAt = run.faults[index + 1]?.at ?? run.endedAt;
        const operations = run.operations.filter(operation => operation.completedAt <= endedAt);
        const gaps = measureWriteGaps({ operations, startedAt: run.startedAt, endedAt, faults: [fault] });
        return gaps.find(gap => gap.fault === fault.text)?.milliseconds ?? 0;
    });
}

function toRow(arrangement: string, outcome: LoadOutcome): BenchmarkRow {
    const { count, p50, p99, maximum } = summarizeSamples(listGaps(outcome));
    return {
        arrangement,
        isBaseline: false,
        figures: { kills: count, gapP50Milliseconds: p50, gapP99Milliseconds: p99, gapMaximumMilliseconds: maximum },
    };
}

function describeVerdict({ verdict }: LoadOutcome): string {
    const counts = `${verdict.acknowledgedWriteCount} acknowledged writes, ${verdict.answeredReadCount} reads`;
    return verdict.isSound
        ? `history sound: ${counts}`
        : `history VIOLATED: ${JSON.stringify(verdict.countByKind)}; ${verdict.violations[0]?.text}`;
}

function describeGaps(outcome: LoadOutcome): string {
    return `gaps in order, in ms: ${listGaps(outcome).map(Math.round).join(" ")}`;
}
