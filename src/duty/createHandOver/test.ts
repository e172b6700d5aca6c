import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createDutyFleet } from "../../testing/createDutyFleet/index.js";
import { dutyConstants } from "../constants.js";

const names = ["vm-1", "vm-2", "vm-3"];
const stabilizationMilliseconds = 3_000;

async function startFleet() {
    const fleet = createDutyFleet(names);
    await fleet.start();
    await fleet.clock.advance(stabilizationMilliseconds);
    const [holder] = fleet.holders();
    return { fleet, holder: holder!, others: names.filter(name => name !== holder) };
}

describe("createHandOver", () => {
    it("hands the duty over to a VM that grants leases at once, and acts no more", async () => {
        const { fleet, holder, others } = await startFleet();
        const token = fleet.dutyOf(holder).heldToken()!;
        fleet.dutyOf(holder).leave();
        const handedOver = fleet.dutyOf(holder).handOver(true);
        await fleet.clock.advance(700);
        await handedOver;
        const [next, ...more] = fleet.holders();
        assert.ok(others.includes(next!) && more.length === 0);
        assert.ok(fleet.dutyOf(next!).heldToken()! > token);
        assert.ok(names.every(name => fleet.dutyOf(name).hasLease()));
    });

    it("waits as after the loss of the holder when that handed over without knowing the end of its orders", async () => {
        const { fleet, holder } = await startFleet();
        fleet.dutyOf(holder).leave();
        const handedOver = fleet.dutyOf(holder).handOver(false);
        await fleet.clock.advance(700);
        await handedOver;
        const [next] = fleet.holders();
        assert.notEqual(next, holder);
        assert.equal(fleet.dutyOf(next!).isGranting(), false);
        await fleet.clock.advance(dutyConstants.formerOrdersMilliseconds);
        assert.equal(fleet.dutyOf(next!).isGranting(), true);
    });

    it("keeps the duty of a stopping holder while the store does not answer it", async () => {
        const { fleet, holder } = await startFleet();
        fleet.refusedByStore.add(holder);
        fleet.dutyOf(holder).leave();
        const handedOver = fleet.dutyOf(holder).handOver(true);
        await fleet.clock.advance(700);
        await handedOver;
        assert.deepEqual(fleet.holders(), [holder]);
    });

    it("takes the duty back from no successor while it stops, also when the answer to the hand-over is lost", async () => {
        const { fleet, holder, others } = await startFleet();
        const replace = fleet.records.replace;
        fleet.records.replace = async (...parameters) => {
            await replace(...parameters);
            throw new Error("the answer was lost");
        };
        fleet.dutyOf(holder).leave();
        const handedOver = fleet.dutyOf(holder).handOver(true);
        await fleet.clock.advance(100);
        fleet.records.replace = replace;
        await fleet.clock.advance(5_000);
        await handedOver;
        const [next, ...more] = fleet.holders();
        assert.ok(others.includes(next!) && more.length === 0);
    });
});
