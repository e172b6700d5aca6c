import { createEndpointDriver } from "../../endpoints/createEndpointDriver/index.js";
import { EventKind } from "../../events/types/EventKind.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import type { EndpointSwitches } from "../../standIns/endpoint/types/EndpointSwitches.js";
import { createFailoverFleet } from "../../testing/createFailoverFleet/index.js";
import { runConfirmedWriter } from "../../testing/runConfirmedWriter/index.js";
import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import { createLeaseCoordinator } from "../createLeaseCoordinator/index.js";
import { summarizeGaps } from "../summarizeGaps/index.js";
import type { FailoverFigures } from "../types/FailoverFigures.js";
import type { GapFigures } from "../types/GapFigures.js";

/** Options of `measureFailover`. */
interface MeasureFailoverOptions {
    /** Number of failures of each kind. */
    readonly failureCount: number;
    readonly seed: number;
    readonly leaseMilliseconds: number;
    /** Duration of a platform outage in the measurement of the lease. */
    readonly outageMilliseconds: number;
    /** Maximum number of failovers that are counted in one outage. */
    readonly maximumFailoversInOneOutage: number;
}

/** Fleet under measurement, with the figures of its writer. */
interface Bench {
    readonly fleet: Awaited<ReturnType<typeof createFailoverFleet>>;
    readonly record: () => GroupRecord | undefined;
    /** Longest gap between two acknowledgements since this was reset to 0, in milliseconds. */
    longestGap: number;
    acknowledgements: number;
}

/** Options of `measureGaps`. */
interface FailureOptions {
    readonly count: number;
    readonly fault: Partial<EndpointSwitches>;
    readonly repair: Partial<EndpointSwitches>;
    /** Duration of a platform outage from just before the failure; 0: until the failover, undefined: no outage. */
    readonly outageMilliseconds?: number;
}

const driver = createEndpointDriver(createUnemulatedNetwork("caller"));

async function measureGaps(bench: Bench, options: FailureOptions): Promise<GapFigures> {
    const { fleet } = bench;
    const gaps: number[] = [];
    for (let failure = 0; failure < options.count; failure += 1) {
        await fleet.waitUntil(() => fleet.statuses().every(status => status.term === fleet.record()?.term));
        const { primary, term } = fleet.record()!;
        await fleet.waitUntil(() => fleet.gateways.some(({ terms }) => terms.count("stock", term) > 4));
        bench.longestGap = 0;
        fleet.platform.setDown(options.outageMilliseconds !== undefined);
        fleet.switchesOf(primary).set(options.fault);
        if (options.outageMilliseconds !== undefined && options.outageMilliseconds > 0) {
            await new Promise(resolve => setTimeout(resolve, options.outageMilliseconds));
            fleet.platform.setDown(false);
        }
        await fleet.waitUntil(() => (bench.record()?.primary ?? primary) !== primary);
        const acknowledgedBefore = bench.acknowledgements;
        await fleet.waitUntil(() => bench.acknowledgements > acknowledgedBefore + 5);
        gaps.push(bench.longestGap);
        fleet.platform.setDown(false);
        fleet.switchesOf(primary).set(options.repair);
        await fleet.waitUntil(() => fleet.statuses().every(status => status.term === fleet.record()?.term));
    }
    return summarizeGaps(gaps);
}

/** Kills primaries in one outage of the platform until no gateway holds a usable reserved term. */
async function countFailoversInOneOutage({ fleet }: Bench, maximumFailovers: number): Promise<number> {
    fleet.platform.setDown(true);
    let failovers = 0;
    for (let hasNoFailover = false; !hasNoFailover && failovers < maximumFailovers;) {
        await fleet.waitUntil(() => fleet.statuses().every(status => status.term === fleet.record()?.term));
        const { primary, term } = fleet.record()!;
        const waitsBefore = fleet.eventsOf(EventKind.FailoverWaiting).length;
        const isWithoutTerm = (): boolean =>
            fleet.eventsOf(EventKind.FailoverWaiting).slice(waitsBefore).some(({ text }) => /No term/.test(text));
        fleet.switchesOf(primary).set({ isKilled: true });
        const deadline = performance.now() + 5_000;
        await fleet.waitUntil(() =>
            (fleet.record()?.term ?? 0) > term || (isWithoutTerm() && performance.now() > deadline)
        );
        hasNoFailover = (fleet.record()?.term ?? 0) === term;
        failovers += hasNoFailover ? 0 : 1;
        fleet.switchesOf(primary).set({ isKilled: false });
    }
    fleet.platform.setDown(false);
    await fleet.waitUntil(() => fleet.statuses().every(status => status.term === fleet.record()?.term));
    return failovers;
}

/** Runs a writer during a measurement; returns the measurement and the number of lost acknowledged writes. */
async function withWriter<T>(bench: Bench, measure: () => Promise<T>) {
    const { fleet } = bench;
    const abort = new AbortController();
    const writing = runConfirmedWriter({
        record: bench.record,
        connect: endpoint => driver.connect(endpoint, fleet.group.addressOf(endpoint), 300),
        endpoints: Object.keys(fleet.group.endpoints),
        signal: abort.signal,
        onAcknowledged: gap => {
            bench.longestGap = Math.max(bench.longestGap, gap);
            bench.acknowledgements += 1;
        },
    });
    const measured = await measure();
    abort.abort();
    const { acknowledged } = await writing;
    const { primary, term } = fleet.record()!;
    const connection = await driver.connect(primary, fleet.group.addressOf(primary), 300);
    const answer = await connection.execute({
        statement: { operation: "ReadList", list: "log" },
        isWrite: false,
        term,
        leastPosition: 0,
        waitMilliseconds: 0,
        timeoutMilliseconds: 2_000,
    });
    connection.close();
    const storedValues = new Set((answer.result as { readonly values: readonly number[]; }).values);
    const lost = acknowledged.filter(value => !storedValues.has(value)).length;
    return { measured, lost, acknowledged: acknowledged.length };
}

async function measureService(options: MeasureFailoverOptions) {
    const fleet = await createFailoverFleet({ gatewaysPerZone: 2, seed: options.seed });
    await fleet.start();
    await fleet.waitForTermAbove(0);
    const bench: Bench = { fleet, record: fleet.record, longestGap: 0, acknowledgements: 0 };
    const kill = { count: options.failureCount, fault: { isKilled: true }, repair: { isKilled: false } };
    const result = await withWriter(bench, async () => ({
        killed: await measureGaps(bench, kill),
        killedWhilePlatformDown: await measureGaps(bench, { ...kill, outageMilliseconds: 0 }),
        frozen: await measureGaps(bench, { ...kill, fault: { isFrozen: true }, repair: { isFrozen: false } }),
        planned: await measureGaps(bench, { ...kill, fault: { isLeaving: true }, repair: { isLeaving: false } }),
        failoversInOneOutage: await countFailoversInOneOutage(bench, options.maximumFailoversInOneOutage),
    }));
    await fleet.stopGateways();
    await fleet.group.stop();
    return result;
}

async function measureLease(options: MeasureFailoverOptions) {
    const fleet = await createFailoverFleet({ gatewaysPerZone: 1, seed: options.seed });
    const [gateway] = fleet.gateways;
    const { leaseMilliseconds, outageMilliseconds } = options;
    const coordinator = createLeaseCoordinator(gateway!.dependencies, { platform: fleet.platform, leaseMilliseconds });
    await fleet.waitForTermAbove(0);
    const bench: Bench = { fleet, record: coordinator.record, longestGap: 0, acknowledgements: 0 };
    const kill = { fault: { isKilled: true }, repair: { isKilled: false } };
    const result = await withWriter(bench, async () => ({
        lease: await measureGaps(bench, { ...kill, count: options.failureCount }),
        leaseWhilePlatformDown: await measureGaps(bench, { ...kill, count: 3, outageMilliseconds }),
    }));
    await coordinator.stop();
    await fleet.group.stop();
    return result;
}

/**
 * Measures how long writes are unavailable when a primary fails, with the failover service and with a renewed lease.
 *
 * Everything runs in this process on endpoint stand-ins, without emulated delays. The gap is the time between two
 * acknowledged writes of one writer that reads the primary from the record of the group.
 *
 * @param options Number of failures, seed, and the durations of the lease and of the outage in milliseconds.
 * @returns The gaps by kind of failure, and the number of lost acknowledged writes.
 *
 * @example
 * const figures = await measureFailover({ ...options, failureCount: 30, leaseMilliseconds: 3_000 });
 */
export async function measureFailover(options: MeasureFailoverOptions): Promise<FailoverFigures> {
    const service = await measureService(options);
    const lease = await measureLease(options);
    return {
        ...service.measured,
        ...lease.measured,
        leaseMilliseconds: options.leaseMilliseconds,
        outageMilliseconds: options.outageMilliseconds,
        lostWrites: service.lost + lease.lost,
        acknowledgedWrites: service.acknowledged + lease.acknowledged,
    };
}
