import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createPrimaryFleet } from "../../createPrimaryFleet/index.js";
import { findIdleGroups } from "../../findIdleGroups/index.js";
import { findStaleWrites } from "../../findStaleWrites/index.js";
import { findTokenFaults } from "../../findTokenFaults/index.js";

/** Restores the store from a copy of this age, after a short outage. */
async function restoreStore(fleet: ReturnType<typeof createPrimaryFleet>, ageMilliseconds: number): Promise<void> {
    fleet.store.isAvailable = false;
    await fleet.clock.advance(500);
    fleet.store.restoreCopy(ageMilliseconds);
    fleet.store.isAvailable = true;
}

describe("a store that is restored from a copy", () => {
    it("leads to no fencing token that was used before the restore, although no VM remembers it", async () => {
        const fleet = createPrimaryFleet({ groups: ["orders"] });
        await fleet.clock.advance(4_000);
        const first = fleet.holders()[0]!;
        fleet.kill(first);
        await fleet.clock.advance(100);
        fleet.endpoints.crash("orders-1");
        await fleet.clock.advance(7_000);
        fleet.endpoints.recover("orders-1");
        fleet.start(first);
        await fleet.clock.advance(1_000);

        await restoreStore(fleet, 9_000);
        fleet.names.forEach(fleet.kill);
        await fleet.clock.advance(500);
        fleet.names.forEach(fleet.start);
        await fleet.clock.advance(2_000);
        fleet.endpoints.crash(fleet.endpoints.leaderOf("orders"));
        await fleet.clock.advance(12_000);

        assert.deepEqual(findTokenFaults(fleet.history), []);
        assert.deepEqual(findStaleWrites(fleet.history), []);
        assert.deepEqual(findIdleGroups(fleet.history, fleet.groups, fleet.clock.now() - 2_000), []);
    });

    it("hides no endpoint from any VM that registers at a revision which was assigned before", async () => {
        const fleet = createPrimaryFleet();
        await fleet.clock.advance(2_000);
        // Several changes raise the revision of the store beyond that of the copy.
        for (const id of ["orders-3", "stock-3", "orders-3", "stock-3"]) {
            fleet.endpoints.crash(id);
            await fleet.clock.advance(100);
            fleet.endpoints.recover(id);
            await fleet.clock.advance(400);
        }
        fleet.names.forEach(name => fleet.store.refusedVms.add(name));
        await restoreStore(fleet, 2_400);
        const started = fleet.endpoints.ids.map(id => {
            fleet.endpoints.crash(id);
            return id;
        });
        await fleet.clock.advance(50);
        started.forEach(fleet.endpoints.recover);
        await fleet.clock.advance(1_500);
        fleet.store.refusedVms.clear();
        await fleet.clock.advance(4_000);

        for (const name of fleet.names) {
            const { directory } = fleet.vmOf(name);
            for (const id of fleet.endpoints.ids) {
                assert.equal(directory.endpoint(id)?.startedAt, fleet.endpoints.get(id).startedAt, `${id} at ${name}`);
            }
        }
        assert.deepEqual(findStaleWrites(fleet.history), []);
    });
});
