import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createPaceSite } from "../../testing/createPaceSite/index.js";

const records = ["i-1", "i-2", "i-3"].map((id, index) =>
    createEndpointRecord({ id, isPrimary: index === 0, slots: 6 })
);
const primary = records[0]!;
const replica = records[1]!;
const unpaced = -1;
const workMilliseconds = 20;

type Site = ReturnType<typeof createPaceSite>;
type Reports = Awaited<ReturnType<Site["load"]>>;

function createTwelveHosts(changes: Partial<Parameters<typeof createPaceSite>[0]> = {}): Site {
    return createPaceSite({ hosts: 12, records, workMilliseconds, ...changes });
}

function latency99(reports: Reports): number {
    const sorted = reports.map(({ tookMilliseconds }) => tookMilliseconds).sort((left, right) => left - right);
    return sorted[Math.floor(0.99 * sorted.length)]!;
}

/** Statements that reached an endpoint between two times, in milliseconds. */
function countArrivals(site: Site, id: string, from: number, to: number): number {
    return site.endpoints.get(id)!.arrivals.filter(at => at >= from && at < to).length;
}

function countFailures(reports: Reports): number {
    return reports.filter(({ code }) => code === FailureCode.Failed).length;
}

describe("createPacing", () => {
    it("changes nothing in calm: every statement takes as long as without a pace", async () => {
        const run = async (priority: number) => {
            const calm = records.map(record => ({ ...record, slots: 3 }));
            const site = createPaceSite({ hosts: 8, records: calm, workMilliseconds });
            const reads = await site.load({ perSecond: 60, milliseconds: 2_000, priority });
            return [reads, await site.load({ perSecond: 20, milliseconds: 2_000, priority, needsPrimary: true })];
        };
        assert.deepEqual(await run(0), await run(unpaced));
    });

    it("lets 12 hosts share an endpoint under twice its load with fewer refusals and no less throughput", async () => {
        const run = async (priority: number) => {
            const site = createTwelveHosts({ records: [primary] });
            await site.load({ perSecond: 600, milliseconds: 3_000, needsPrimary: true, priority });
            const { refused, answered } = site.endpoints.get(primary.id)!.counts;
            return { answered, refusalsPerAnswer: refused / answered };
        };
        const [paced, free] = [await run(0), await run(unpaced)];
        assert.ok(paced.refusalsPerAnswer < 0.35 * free.refusalsPerAnswer, JSON.stringify({ paced, free }));
        assert.ok(paced.answered >= free.answered, JSON.stringify({ paced, free }));
    });

    it("gives an endpoint that has started anew its full share within 3 s, at the usual latency", async () => {
        const site = createTwelveHosts();
        const before = await site.load({ perSecond: 300, milliseconds: 2_000 });
        const startedAt = site.clock.now();
        site.changeRecord({ ...replica, startedAt: 2, revision: 2 });
        const after = await site.load({ perSecond: 300, milliseconds: 4_000 });
        const share = countArrivals(site, "i-2", startedAt + 2_000, startedAt + 4_000) / 2;
        const usualShare = countArrivals(site, "i-2", 0, 2_000) / 2;
        assert.ok(share > 0.8 * usualShare, `${share} of ${usualShare} a second`);
        assert.ok(latency99(after) < 1.5 * latency99(before), `${latency99(after)} and ${latency99(before)} ms`);
    });

    it("does not flood a primary that starts anew at a tenth of its speed", async () => {
        const run = async (priority: number) => {
            const site = createTwelveHosts({ queueLength: 100 });
            await site.load({ perSecond: 150, milliseconds: 3_000, needsPrimary: true, priority });
            const endpoint = site.endpoints.get(primary.id)!;
            endpoint.workMilliseconds = 10 * workMilliseconds;
            endpoint.counts.mostAtOnce = 0;
            site.changeRecord({ ...primary, startedAt: 2, revision: 2 });
            await site.load({ perSecond: 150, milliseconds: 3_000, needsPrimary: true, priority });
            return endpoint.counts.mostAtOnce;
        };
        const [paced, free] = [await run(0), await run(unpaced)];
        assert.ok(paced <= 0.4 * free, `${paced} at once, ${free} without a pace`);
    });

    it("takes reads from an endpoint that fails 45 % of them, probes it seldom, and gives them back", async () => {
        const site = createTwelveHosts();
        await site.load({ perSecond: 200, milliseconds: 2_000 });
        const usualShare = countArrivals(site, "i-2", 0, 2_000) / 2;
        const failsFrom = site.clock.now();
        site.endpoints.get("i-2")!.failingShare = 0.45;
        const reports = await site.load({ perSecond: 200, milliseconds: 6_000 });
        const shareAtOnce = countArrivals(site, "i-2", failsFrom + 1_000, failsFrom + 2_000);
        const share = countArrivals(site, "i-2", failsFrom + 1_000, failsFrom + 6_000) / 5;
        const probes = reports.filter(({ isProbe }) => isProbe).length;
        assert.ok(shareAtOnce < 0.15 * usualShare, `${shareAtOnce} of ${usualShare} a second at once`);
        assert.ok(share < 0.15 * usualShare, `${share} of ${usualShare} a second`);
        assert.ok(probes > 0 && probes < 0.02 * reports.length, `${probes} probes of ${reports.length}`);
        site.endpoints.get("i-2")!.failingShare = 0;
        const mendedAt = site.clock.now();
        await site.load({ perSecond: 200, milliseconds: 10_000 });
        const returned = countArrivals(site, "i-2", mendedAt + 7_000, mendedAt + 10_000) / 3;
        assert.ok(returned > 0.7 * usualShare, `${returned} of ${usualShare} a second`);
        assert.ok(site.lines.includes("endpoint is set aside") && site.lines.includes("endpoint is back in service"));
    });

    it("loses fewer and fewer reads at an endpoint that goes up and down", async () => {
        const site = createTwelveHosts();
        const failures: number[] = [];
        for (let turn = 0; turn < 8; turn += 1) {
            site.endpoints.get("i-2")!.failingShare = 1;
            failures.push(countFailures(await site.load({ perSecond: 300, milliseconds: 2_000 })));
            site.endpoints.get("i-2")!.failingShare = 0;
            await site.load({ perSecond: 300, milliseconds: 2_000 });
        }
        const usualReads = countArrivals(site, "i-3", 0, 2_000);
        assert.ok(failures.every(count => count < 0.1 * usualReads), failures.join(" "));
        assert.ok(failures.at(-1)! < failures[0]! / 2, failures.join(" "));
    });

    it("sends few reads to an endpoint that answers nothing", async () => {
        const run = async (priority: number) => {
            const site = createTwelveHosts();
            await site.load({ perSecond: 300, milliseconds: 1_000, priority });
            site.endpoints.get("i-2")!.isHanging = true;
            const reports = await site.load({ perSecond: 300, milliseconds: 4_000, priority });
            return reports.filter(({ code }) => code === FailureCode.Timeout).length;
        };
        const [paced, free] = [await run(0), await run(unpaced)];
        assert.ok(paced < 0.4 * free, `${paced} without an answer, ${free} without a pace`);
    });

    it("takes over the writes after a change of primary at the usual latency", async () => {
        const site = createTwelveHosts();
        const before = await site.load({ perSecond: 200, milliseconds: 2_000, needsPrimary: true });
        for (const { primaries } of site.hosts) {
            primaries.beginChange("orders", 2);
            primaries.finishChange("orders", "i-3", 2);
        }
        const after = await site.load({ perSecond: 200, milliseconds: 2_000, needsPrimary: true });
        assert.ok(after.every(({ endpointId, code }) => endpointId === "i-3" && code === undefined));
        assert.ok(latency99(after) < 1.5 * latency99(before), `${latency99(after)} and ${latency99(before)} ms`);
    });

    it("uses the last endpoints whatever they look like, and never sets the primary aside", async () => {
        const site = createTwelveHosts();
        site.endpoints.forEach(endpoint => {
            endpoint.failingShare = 1;
        });
        const reads = await site.load({ perSecond: 60, milliseconds: 2_000 });
        assert.equal(countFailures(reads), reads.length);
        const writes = await site.load({ perSecond: 60, milliseconds: 1_000, needsPrimary: true });
        assert.equal(countFailures(writes), writes.length);
        assert.ok(latency99(writes) < 1.5 * workMilliseconds + 5, `${latency99(writes)} ms`);
    });
});
