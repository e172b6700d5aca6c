import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createDutyFleet } from "../../testing/createDutyFleet/index.js";
import { AnnouncementPhase } from "../types/AnnouncementPhase.js";

const names = ["vm-1", "vm-2", "vm-3"];
const stabilizationMilliseconds = 3_000;

/** Has another VM replace the holder, which hears of it and may still be busy with a change. */
async function replaceHolder() {
    const fleet = createDutyFleet(names);
    await fleet.start();
    await fleet.clock.advance(stabilizationMilliseconds);
    const former = fleet.holders()[0]!;
    fleet.isolate(former);
    fleet.refusedByStore.add(former);
    await fleet.clock.advance(stabilizationMilliseconds);
    fleet.cuts.clear();
    fleet.refusedByStore.clear();
    await fleet.clock.advance(2 * stabilizationMilliseconds);
    const [holder, ...others] = fleet.holders();
    assert.deepEqual(others, []);
    assert.notEqual(holder, former);
    return { fleet, former, holder: holder! };
}

describe("createAnnouncementDelivery", () => {
    it("applies the beginning of a change of a new holder at VMs that know announcements of the former one", async () => {
        const { fleet, former, holder } = await replaceHolder();
        const change = { group: "orders", phase: AnnouncementPhase.Begun, term: 2 };
        await fleet.dutyOf(former).announce(change, 1).catch(() => {});
        await fleet.dutyOf(former).announce({ ...change, phase: AnnouncementPhase.Cancelled }, 1).catch(() => {});
        await fleet.dutyOf(holder).announce(change, fleet.dutyOf(holder).heldToken()!);
        await fleet.clock.advance(1_000);
        for (const name of names) {
            assert.equal(fleet.announcementsOf(name).at(-1)?.phase, AnnouncementPhase.Begun, name);
        }
    });

    it("lets a former holder announce nothing about a change that it had begun", async () => {
        const { fleet, former } = await replaceHolder();
        const change = { group: "orders", phase: AnnouncementPhase.Finished, term: 2, endpointId: "i-1" };
        await assert.rejects(fleet.dutyOf(former).announce(change, 1));
        await fleet.clock.advance(1_000);
        assert.deepEqual(names.flatMap(name => fleet.announcementsOf(name)), []);
    });
});
