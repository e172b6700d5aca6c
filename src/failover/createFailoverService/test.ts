import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createEndpointDriver } from "../../endpoints/createEndpointDriver/index.js";
import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import { EventKind } from "../../events/types/EventKind.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import { createFailoverFleet } from "../../testing/createFailoverFleet/index.js";
import { runConfirmedWriter } from "../../testing/runConfirmedWriter/index.js";
import { SuspicionReason } from "../types/SuspicionReason.js";

type Fleet = Awaited<ReturnType<typeof createFailoverFleet>>;

const driver = createEndpointDriver(createUnemulatedNetwork("caller"));

async function startFleet(context: TestContext): Promise<Fleet> {
    const fleet = await createFailoverFleet({ gatewaysPerZone: 2, seed: 1 });
    context.after(async () => {
        await fleet.stopGateways();
        await fleet.group.stop();
    });
    await fleet.start();
    await fleet.waitForTermAbove(0);
    await waitForFollowers(fleet);
    return fleet;
}

/** Waits until all endpoints serve the recorded term. */
async function waitForFollowers(fleet: Fleet, endpoints = 3): Promise<void> {
    await fleet.waitUntil(() => {
        const term = fleet.record()?.term;
        return fleet.statuses().filter(status => status.term === term).length === endpoints;
    });
}

/** Waits until the coordinator and its standbys hold terms above the recorded one. */
async function waitForTermsAhead(fleet: Fleet): Promise<void> {
    await fleet.waitUntil(() => {
        const { term } = fleet.record()!;
        return fleet.gateways.filter(({ terms }) => terms.count("stock", term) > 0).length === 3;
    });
}

function startWriter(fleet: Fleet) {
    const abort = new AbortController();
    let acknowledgedCount = 0;
    const report = runConfirmedWriter({
        onAcknowledged: () => acknowledgedCount += 1,
        record: fleet.record,
        connect: endpoint => driver.connect(endpoint, fleet.group.addressOf(endpoint), 300),
        endpoints: Object.keys(fleet.group.endpoints),
        signal: abort.signal,
    });
    return {
        /** Waits until `count` further writes are acknowledged. */
        waitForWrites: async (count: number) => {
            const target = acknowledgedCount + count;
            while (acknowledgedCount < target) {
                await sleep(5);
            }
        },
        finish: async () => {
            abort.abort();
            return await report;
        },
    };
}

async function readLog(fleet: Fleet): Promise<number[]> {
    const { primary, term } = fleet.record()!;
    const connection = await driver.connect(primary, fleet.group.addressOf(primary), 300);
    const statement = { operation: "ReadList", list: "log" };
    const answer = await connection.execute({
        statement,
        isWrite: false,
        term,
        leastPosition: 0,
        waitMilliseconds: 0,
        timeoutMilliseconds: 500,
    });
    connection.close();
    return (answer.result as { values: number[]; }).values;
}

function assertHolds(log: readonly number[], written: readonly number[]): void {
    const held = new Set(log);
    assert.equal(held.size, log.length, "an entry is in the log twice");
    assert.deepEqual(written.filter(value => !held.has(value)), [], "writes were lost");
}

test("at the first start the configured initial primary is promoted and the others follow it", async context => {
    const fleet = await startFleet(context);
    assert.equal(fleet.record()?.primary, "stock-1");
    assert.equal(fleet.coordinators().length, 1);
    assert.notEqual(fleet.coordinators()[0]?.self.availabilityZone, "zone-a");
});

test("a killed primary is replaced without losing an acknowledged write, and follows on its return", async context => {
    const fleet = await startFleet(context);
    const writer = startWriter(fleet);
    const { term } = fleet.record()!;
    await writer.waitForWrites(6);
    fleet.switchesOf("stock-1").set({ isKilled: true });
    const changed = await fleet.waitForTermAbove(term);
    assert.notEqual(changed.primary, "stock-1");
    await writer.waitForWrites(6);
    fleet.switchesOf("stock-1").set({ isKilled: false });
    await waitForFollowers(fleet);
    const { acknowledged } = await writer.finish();
    assert.ok(acknowledged.length > 10);
    assertHolds(await readLog(fleet), acknowledged);
});

test("a frozen primary is replaced, and confirms no write after it resumes", async context => {
    const fleet = await startFleet(context);
    const writer = startWriter(fleet);
    const { term } = fleet.record()!;
    fleet.switchesOf("stock-1").set({ isFrozen: true });
    await fleet.waitForTermAbove(term);
    fleet.switchesOf("stock-1").set({ isFrozen: false });
    await waitForFollowers(fleet);
    const { acknowledged } = await writer.finish();
    assertHolds(await readLog(fleet), acknowledged);
    assert.equal(fleet.statuses().filter(status => status.role === EndpointRole.Primary).length, 1);
});

test("a primary is kept while only its coordinator's connection to it is broken", async context => {
    const fleet = await startFleet(context);
    const { term } = fleet.record()!;
    const [coordinator] = fleet.coordinators();
    coordinator!.driver.cut("stock-1", true);
    await fleet.waitUntil(() => fleet.eventsOf(EventKind.EndpointSuspected).length > 0);
    await sleep(1_500);
    assert.equal(fleet.record()?.term, term);
    assert.ok(fleet.statuses().every(status => status.fencedTerm === term));
});

test("a primary without contact to its replicas is replaced although gateways can reach it", async context => {
    const fleet = await startFleet(context);
    const writer = startWriter(fleet);
    const { term } = fleet.record()!;
    fleet.switchesOf("stock-1").set({ isCutFromPeers: true });
    const changed = await fleet.waitForTermAbove(term);
    assert.notEqual(changed.primary, "stock-1");
    fleet.switchesOf("stock-1").set({ isCutFromPeers: false });
    await waitForFollowers(fleet);
    const { acknowledged } = await writer.finish();
    assertHolds(await readLog(fleet), acknowledged);
});

test("with a majority unreachable nothing is fenced, and the wait is recorded and ends by itself", async context => {
    const fleet = await startFleet(context);
    const { term } = fleet.record()!;
    fleet.switchesOf("stock-1").set({ isKilled: true });
    fleet.switchesOf("stock-2").set({ isKilled: true });
    await fleet.waitUntil(() => fleet.eventsOf(EventKind.FailoverWaiting).some(({ text }) => /stock-2/.test(text)));
    assert.equal(fleet.record()?.term, term);
    assert.equal(fleet.statuses()[2]?.fencedTerm, term);
    fleet.switchesOf("stock-2").set({ isKilled: false });
    const changed = await fleet.waitForTermAbove(term);
    assert.notEqual(changed.primary, "stock-1");
});

test("several failovers succeed while the platform is down", async context => {
    const fleet = await startFleet(context);
    await waitForTermsAhead(fleet);
    fleet.platform.setDown(true);
    const terms = new Set<number>();
    for (let round = 0; round < 4; round += 1) {
        const { primary, term } = fleet.record()!;
        fleet.switchesOf(primary).set({ isKilled: true });
        terms.add((await fleet.waitForTermAbove(term)).term);
        fleet.switchesOf(primary).set({ isKilled: false });
        await waitForFollowers(fleet);
    }
    assert.equal(terms.size, 4);
});

test("a failover succeeds when the coordinator and the primary are lost together", async context => {
    const fleet = await startFleet(context);
    await waitForTermsAhead(fleet);
    fleet.platform.setDown(true);
    const { term } = fleet.record()!;
    const [lost] = fleet.coordinators();
    await lost!.stop();
    fleet.switchesOf("stock-1").set({ isKilled: true });
    const live = fleet.gateways.filter(gateway => gateway !== lost);
    live.forEach(gateway => gateway.membership.setPeers(live.map(({ self }) => self)));
    await fleet.waitForTermAbove(term);
});

test("a standby acts on a report when the coordinator does nothing although it counts as live", async context => {
    const fleet = await startFleet(context);
    await waitForTermsAhead(fleet);
    const { term } = fleet.record()!;
    const [lost] = fleet.coordinators();
    await lost!.stop();
    fleet.switchesOf("stock-1").set({ isKilled: true });
    const suspicion = { database: "stock", endpoint: "stock-1", term, reason: SuspicionReason.ConnectionLost };
    fleet.gateways.find(gateway => gateway !== lost)!.failover.reportSuspicion(suspicion);
    await fleet.waitForTermAbove(term);
});

test("two concurrent coordinators end with one primary, of the highest term", async context => {
    const fleet = await startFleet(context);
    const [first] = fleet.coordinators();
    const second = fleet.gateways.find(gateway => gateway.self.availabilityZone !== first!.self.availabilityZone)!;
    second.membership.setPeers([second.self]);
    await fleet.waitUntil(() => fleet.coordinators().length === 2);
    const writer = startWriter(fleet);
    for (let round = 0; round < 3; round += 1) {
        await waitForFollowers(fleet);
        const { primary, term } = fleet.record()!;
        fleet.switchesOf(primary).set({ isKilled: true });
        await fleet.waitForTermAbove(term);
        fleet.switchesOf(primary).set({ isKilled: false });
    }
    await waitForFollowers(fleet);
    const { acknowledged } = await writer.finish();
    assertHolds(await readLog(fleet), acknowledged);
    const promotions = fleet.eventsOf(EventKind.Promoted).map(event => event.term);
    assert.equal(new Set(promotions).size, promotions.length, "a term had two primaries");
});

test("a fleet without group records keeps the serving primary and its term, and writes a new marker", async context => {
    const earlier = await startFleet(context);
    const before = earlier.record()!;
    await earlier.stopGateways();
    const fleet = await createFailoverFleet({ gatewaysPerZone: 1, seed: 2, earlier });
    context.after(fleet.stopGateways);
    await fleet.start();
    const adopted = await fleet.waitForTermAbove(0);
    assert.equal(adopted.term, before.term);
    assert.equal(adopted.primary, before.primary);
    assert.ok(adopted.markerPosition > before.markerPosition);
});

/** Writes to the primary without waiting for confirmations until it refuses; returns the values that it accepted. */
async function writeUntilRefused(fleet: Fleet): Promise<number[]> {
    const { primary, term } = fleet.record()!;
    const connection = await driver.connect(primary, fleet.group.addressOf(primary), 300);
    const accepted: number[] = [];
    const call = { isWrite: true, term, leastPosition: 0, waitMilliseconds: 0, timeoutMilliseconds: 500 };
    for (let value = 1, isAccepted = true; isAccepted; value += 1) {
        const statement = { operation: "Append", list: "log", value };
        isAccepted = await connection.execute({ ...call, statement }).then(() => true, () => false);
        accepted.push(...isAccepted ? [value] : []);
        await sleep(1);
    }
    connection.close();
    return accepted;
}

test("a leaving primary is replaced by a planned change, and no write that it accepted is lost", async context => {
    const fleet = await startFleet(context);
    for (const replica of ["stock-2", "stock-3"]) {
        fleet.switchesOf(replica).set({ replicationLagMilliseconds: 30 });
    }
    const writing = writeUntilRefused(fleet);
    await sleep(100);
    fleet.switchesOf("stock-1").set({ isLeaving: true });
    await fleet.waitUntil(() => fleet.record()?.primary !== "stock-1");
    const accepted = await writing;
    assert.ok(accepted.length > 10);
    assertHolds(await readLog(fleet), accepted);
    await waitForFollowers(fleet);
    await sleep(1_200);
    assert.notEqual(fleet.record()?.primary, "stock-1", "the leaving endpoint became primary again");
});
