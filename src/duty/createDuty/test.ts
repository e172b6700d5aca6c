import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createDutyFleet } from "../../testing/createDutyFleet/index.js";
import { dutyConstants } from "../constants.js";
import { AnnouncementPhase } from "../types/AnnouncementPhase.js";

const names = ["vm-1", "vm-2", "vm-3"];
const stabilizationMilliseconds = 3_000;

async function startFleet() {
    const fleet = createDutyFleet(names);
    await fleet.start();
    await fleet.clock.advance(stabilizationMilliseconds);
    const [holder] = fleet.holders();
    const others = names.filter(name => name !== holder);
    return { fleet, holder: holder!, others };
}

const zones = ["a", "b", "c", "d", "e", "f"];
const largeVmsPerZone = 3;

/** Starts a fleet with a few large VMs and many small ones in each zone, and waits until every VM knows its part. */
async function startLargeFleet(size: number) {
    const largeNames = Array.from({ length: size }, (_, index) => `${zones[index % zones.length]}-${index}`);
    const isLarge = (name: string) => Number(name.slice(2)) < largeVmsPerZone * zones.length;
    const fleet = createDutyFleet(largeNames, {
        describe: name => ({ availabilityZone: name[0]!, capacity: isLarge(name) ? 1.35 : 0.324 }),
    });
    await fleet.start();
    await fleet.clock.advance(2 * stabilizationMilliseconds);
    const [holder] = fleet.holders();
    const hosts = (): readonly string[] => fleet.dutyOf(holder!).hostVms().map(({ name }) => name);
    const ordinaryVms = (): readonly string[] => largeNames.filter(name => !hosts().includes(name));
    return { fleet: { ...fleet, hosts, ordinaryVms }, holder: holder! };
}

describe("createDuty", () => {
    it("elects one holder, which grants leases to all other VMs", async () => {
        const { fleet } = await startFleet();
        assert.equal(fleet.holders().length, 1);
        assert.ok(names.every(name => fleet.dutyOf(name).hasLease()));
        assert.deepEqual(fleet.dutyOf(names[0]!).otherVms().map(({ name }) => name).sort(), ["vm-2", "vm-3"]);
    });

    it("elects another VM with a higher token when the holder stops answering", async () => {
        const { fleet, holder, others } = await startFleet();
        const token = fleet.dutyOf(holder).heldToken()!;
        await fleet.dutyOf(holder).stop();
        fleet.isolate(holder);
        await fleet.clock.advance(stabilizationMilliseconds);
        const next = others.filter(name => fleet.dutyOf(name).heldToken() !== undefined);
        assert.equal(next.length, 1);
        assert.ok(fleet.dutyOf(next[0]!).heldToken()! > token);
        await fleet.clock.advance(dutyConstants.formerOrdersMilliseconds);
        assert.ok(others.every(name => fleet.dutyOf(name).hasLease()));
    });

    it("grants no lease as a new holder while an order of the previous one may take effect", async () => {
        const { fleet, holder, others } = await startFleet();
        await fleet.dutyOf(holder).stop();
        fleet.isolate(holder);
        const hasHolder = (): boolean => others.some(name => fleet.dutyOf(name).heldToken() !== undefined);
        while (!hasHolder()) {
            await fleet.clock.advance(20);
        }
        await fleet.clock.advance(dutyConstants.leaseMilliseconds);
        const endsAt = fleet.clock.now() + dutyConstants.formerOrdersMilliseconds - dutyConstants.leaseMilliseconds;
        while (fleet.clock.now() < endsAt - 40) {
            assert.ok(others.every(name => !fleet.dutyOf(name).hasLease()), `at ${fleet.clock.now()} ms`);
            await fleet.clock.advance(20);
        }
        await fleet.clock.advance(stabilizationMilliseconds);
        assert.ok(others.every(name => fleet.dutyOf(name).hasLease()));
    });

    it("keeps the holder while another VM is in contact with it", async () => {
        const { fleet, holder, others } = await startFleet();
        fleet.cuts.add(`${others[0]}>${holder}`);
        fleet.cuts.add(`${holder}>${others[0]}`);
        await fleet.clock.advance(stabilizationMilliseconds);
        assert.deepEqual(fleet.holders(), [holder]);
        assert.equal(fleet.dutyOf(others[0]!).hasLease(), false);
        assert.ok(fleet.dutyOf(others[1]!).hasLease());
    });

    it("grants no lease when the holder is cut off with some VMs, because another holder may exist", async () => {
        const { fleet, holder, others } = await startFleet();
        const [companion, outsider] = others as [string, string];
        for (const name of [holder, companion]) {
            fleet.cuts.add(`${name}>${outsider}`);
            fleet.cuts.add(`${outsider}>${name}`);
        }
        fleet.records.isAvailable = false;
        await fleet.clock.advance(stabilizationMilliseconds);
        assert.equal(fleet.dutyOf(companion).hasLease(), false);
        assert.equal(fleet.dutyOf(holder).hasLease(), false);
        assert.equal(await fleet.dutyOf(holder).verify(), undefined);
    });

    it("keeps holder and leases while the store is unreachable and all VMs are in contact", async () => {
        const { fleet, holder } = await startFleet();
        fleet.records.isAvailable = false;
        await fleet.clock.advance(2 * stabilizationMilliseconds);
        assert.deepEqual(fleet.holders(), [holder]);
        assert.ok(names.every(name => fleet.dutyOf(name).hasLease()));
    });

    it("keeps a holder that the store refuses as long as another VM can read the record for it", async () => {
        const { fleet, holder, others } = await startFleet();
        const [companion, outsider] = others as [string, string];
        fleet.refusedByStore.add(holder);
        fleet.isolate(outsider);
        fleet.refusedByStore.add(outsider);
        await fleet.clock.advance(2 * stabilizationMilliseconds);
        assert.equal(await fleet.dutyOf(holder).verify(), fleet.dutyOf(holder).heldToken());
        assert.ok(fleet.dutyOf(companion).hasLease());
        fleet.refusedByStore.add(companion);
        await fleet.clock.advance(stabilizationMilliseconds);
        assert.equal(await fleet.dutyOf(holder).verify(), undefined);
        assert.equal(fleet.dutyOf(companion).hasLease(), false);
    });

    it("lets a holder that the store refuses learn that it was replaced", async () => {
        const { fleet, holder, others } = await startFleet();
        const [companion, successor] = others as [string, string];
        fleet.refusedByStore.add(holder);
        for (const name of [holder, companion]) {
            fleet.cuts.add(`${name}>${successor}`);
            fleet.cuts.add(`${successor}>${name}`);
        }
        await fleet.clock.advance(2 * stabilizationMilliseconds);
        assert.deepEqual(fleet.holders(), [successor]);
        assert.equal(await fleet.dutyOf(holder).verify(), undefined);
    });

    it("delivers announcements to all VMs, with the next renewal to those that were unreachable", async () => {
        const { fleet, holder, others } = await startFleet();
        fleet.cuts.add(`${holder}>${others[0]}`);
        const change = { group: "orders", phase: AnnouncementPhase.Begun, term: 2 };
        const unconfirmed = await fleet.dutyOf(holder).announce(change, 1);
        assert.deepEqual(unconfirmed.map(({ name }) => name), [others[0]]);
        await fleet.clock.advance(stabilizationMilliseconds);
        assert.equal(fleet.announcementsOf(others[0]!).length, 1);
        assert.equal(fleet.announcementsOf(others[1]!).length, 1);
    });

    it("sends a lost announcement with the next renewal although a later one of another group has arrived", async () => {
        const { fleet, holder, others } = await startFleet();
        const link = `${holder}>${others[0]}`;
        fleet.cuts.add(link);
        await fleet.dutyOf(holder).announce({ group: "orders", phase: AnnouncementPhase.Begun, term: 2 }, 1);
        fleet.cuts.delete(link);
        await fleet.dutyOf(holder).announce({ group: "stock", phase: AnnouncementPhase.Begun, term: 2 }, 1);
        await fleet.clock.advance(stabilizationMilliseconds);
        const groups = fleet.announcementsOf(others[0]!).map(({ group }) => group);
        assert.deepEqual(groups.sort(), ["orders", "stock"]);
    });

    it("waits until the lease of a VM that did not confirm has expired", async () => {
        const { fleet, holder, others } = await startFleet();
        const isolated = others[0]!;
        fleet.isolate(isolated);
        fleet.records.isAvailable = false;
        const waiting = fleet.dutyOf(holder).waitForLeases([fleet.identityOf(isolated)]);
        let isOver = false;
        void waiting.then(() => {
            isOver = true;
        });
        while (fleet.dutyOf(isolated).hasLease()) {
            assert.equal(isOver, false);
            await fleet.clock.advance(20);
        }
        await fleet.clock.advance(400);
        assert.ok(isOver);
    });

    it("waits, as a new holder without a list of VMs, until the leases of all VMs have ended", async () => {
        const { fleet, holder } = await startFleet();
        const { records, clock } = fleet;
        const newcomer = createDutyFleet([holder], { records, clock, describe: () => ({ incarnation: "restarted" }) });
        fleet.isolate(holder);
        await newcomer.start();
        const startedAt = fleet.clock.now();
        while (newcomer.holders().length === 0) {
            await fleet.clock.advance(20);
        }
        const tookOverAt = fleet.clock.now();
        // Without the store no other VM takes over in turn.
        fleet.records.isAvailable = false;
        let isOver = false;
        void newcomer.dutyOf(holder).waitForLeases([]).then(() => {
            isOver = true;
        });
        while (names.some(name => name !== holder && fleet.dutyOf(name).hasLease())) {
            assert.equal(isOver, false);
            await fleet.clock.advance(20);
        }
        await fleet.clock.advance(tookOverAt + dutyConstants.formerOrdersMilliseconds - fleet.clock.now());
        assert.ok(isOver);
        assert.ok(tookOverAt - startedAt < stabilizationMilliseconds);
    });

    it("no longer lists a VM that is about to stop", async () => {
        const { fleet, holder, others } = await startFleet();
        fleet.dutyOf(others[0]!).leave();
        await fleet.clock.advance(stabilizationMilliseconds);
        assert.deepEqual(fleet.dutyOf(holder).otherVms().map(({ name }) => name), [others[1]]);
        assert.deepEqual(fleet.dutyOf(others[1]!).otherVms().map(({ name }) => name), [holder]);
        assert.ok(fleet.dutyOf(others[0]!).hasLease());
    });

    it("keeps the holder in a large fleet while the store is unreachable and all VMs are in contact", async () => {
        const { fleet, holder } = await startLargeFleet(60);
        fleet.records.isAvailable = false;
        await fleet.clock.advance(2 * dutyConstants.relayedTakeoverMilliseconds);
        assert.deepEqual(fleet.holders(), [holder]);
        assert.ok(fleet.hosts().every(name => fleet.dutyOf(name).hasLease()));
        const lost = fleet.ordinaryVms().find(name => name !== holder)!;
        fleet.isolate(lost);
        await fleet.clock.advance(dutyConstants.relayedTakeoverMilliseconds - 1);
        assert.equal(await fleet.dutyOf(holder).verify(), undefined, "the isolated VM may have taken over");
    });

    it("finds another relay, and the holder without any, when relays do not answer", async () => {
        const { fleet, holder } = await startLargeFleet(60);
        const vm = fleet.ordinaryVms().find(name => name !== holder)!;
        const zoneHosts = fleet.hosts().filter(name => name.startsWith(vm[0]!));
        for (const host of zoneHosts) {
            fleet.cuts.add(`${vm}>${host}`);
        }
        fleet.calls.splice(0);
        await fleet.clock.advance(stabilizationMilliseconds);
        assert.ok(fleet.calls.some(({ from, to }) => from === vm && to === holder));
        assert.ok(fleet.dutyOf(vm).isInContact());
        assert.deepEqual(fleet.holders(), [holder]);
    });

    it("elects a host when the holder of a large fleet is lost, and tells all VMs", async () => {
        const { fleet, holder } = await startLargeFleet(60);
        fleet.isolate(holder);
        await fleet.dutyOf(holder).stop();
        await fleet.clock.advance(stabilizationMilliseconds);
        const [next, ...rest] = fleet.holders();
        assert.equal(rest.length, 0);
        assert.ok(fleet.hosts().includes(next!), `${next} is not a host`);
        fleet.calls.splice(0);
        await fleet.clock.advance(2 * dutyConstants.relayedRenewalMilliseconds);
        const callers = new Set(fleet.calls.filter(({ to }) => to === holder).map(({ from }) => from));
        assert.deepEqual([...callers], [], "VMs that still call the lost holder");
    });

    it("lets the holder bear the calls of the hosts only, whatever the size of the fleet", async () => {
        const { renewalMilliseconds, relayedRenewalMilliseconds } = dutyConstants;
        const seconds = 3;
        for (const size of [8, 30, 100, 200, 400]) {
            const { fleet, holder } = await startLargeFleet(size);
            fleet.calls.splice(0);
            await fleet.clock.advance(seconds * 1_000);
            const toHolder = fleet.calls.filter(({ to }) => to === holder);
            const hostCount = fleet.hosts().length;
            const expected = hostCount * 1_000 / renewalMilliseconds + size / hostCount;
            assert.ok(hostCount <= Math.max(size, 3 * zones.length), `${hostCount} hosts of ${size} VMs`);
            assert.ok(
                toHolder.length / seconds <= 1.1 * expected + 1,
                `${toHolder.length / seconds} calls a second to the holder of ${size} VMs`,
            );
            const ofOthers = fleet.calls.filter(({ from }) => !fleet.hosts().includes(from) && from !== holder);
            const perOther = ofOthers.length / seconds / Math.max(size - hostCount, 1);
            assert.ok(perOther <= 1_000 / relayedRenewalMilliseconds, `${perOther} calls a second of an ordinary VM`);
            const acrossZones = ofOthers.filter(({ from, to }) => from[0] !== to[0] && to !== holder);
            assert.deepEqual(acrossZones, []);
        }
    });

    it("elects a holder although another writer has made the record unreadable", async () => {
        for (const content of [[], 7, "text", {}, { name: "vm-9", address: { host: "10.1.0.8", port: 99_999 } }]) {
            const { fleet, holder } = await startFleet();
            const { revision } = (await fleet.records.read(dutyConstants.recordName))!;
            await fleet.records.replace(dutyConstants.recordName, content, revision);
            await fleet.clock.advance(2 * stabilizationMilliseconds);
            assert.equal(fleet.holders().length, 1, JSON.stringify(content));
            assert.ok(fleet.dutyOf(fleet.holders()[0]!).heldToken()! > revision, holder);
            await fleet.clock.advance(dutyConstants.formerOrdersMilliseconds);
            assert.ok(names.every(name => fleet.dutyOf(name).hasLease()));
        }
    });
});
