import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createDutyFleet } from "../../testing/createDutyFleet/index.js";
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

    it("delivers announcements to all VMs, with the next renewal to those that were unreachable", async () => {
        const { fleet, holder, others } = await startFleet();
        fleet.cuts.add(`${holder}>${others[0]}`);
        const change = { group: "orders", phase: AnnouncementPhase.Begun, term: 2 };
        const unconfirmed = await fleet.dutyOf(holder).announce(change);
        assert.deepEqual(unconfirmed.map(({ name }) => name), [others[0]]);
        await fleet.clock.advance(stabilizationMilliseconds);
        assert.equal(fleet.announcementsOf(others[0]!).length, 1);
        assert.equal(fleet.announcementsOf(others[1]!).length, 1);
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
});
