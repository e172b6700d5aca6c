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

/** Advances the simulation until a result is there. */
async function advanceUntil<Result>(
    fleet: ReturnType<typeof createPrimaryFleet>,
    result: Promise<Result>,
): Promise<Result> {
    await fleet.clock.advance(1_000);
    return await result;
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

    it("takes no lease from callers' VMs while the holder keeps its record and its contact with all others", async () => {
        const fleet = createPrimaryFleet();
        await fleet.clock.advance(10_000);
        const holder = fleet.holders()[0]!;
        const token = fleet.vmOf(holder).duty.heldToken()!;
        await restoreStore(fleet, 5_000);
        for (let step = 0; step < 50; step += 1) {
            await fleet.clock.advance(100);
            assert.ok(fleet.names.every(name => fleet.vmOf(name).duty.hasLease()), `at ${fleet.clock.now()} ms`);
        }
        assert.deepEqual(fleet.holders(), [holder]);
        assert.ok(fleet.vmOf(holder).duty.heldToken()! > token);
    });

    it("leaves one holder with a higher token when the record of the holder is lost", async () => {
        const fleet = createPrimaryFleet();
        await fleet.clock.advance(4_000);
        const token = fleet.vmOf(fleet.holders()[0]!).duty.heldToken()!;
        await restoreStore(fleet, 20_000);
        await fleet.clock.advance(3_000);
        assert.equal(fleet.holders().length, 1);
        const { duty } = fleet.vmOf(fleet.holders()[0]!);
        assert.ok(duty.heldToken()! > token);
        assert.equal(await advanceUntil(fleet, duty.verify()), duty.heldToken());
        fleet.endpoints.crash("orders-1");
        await fleet.clock.advance(8_000);
        assert.notEqual(fleet.endpoints.leaderOf("orders"), "orders-1");
        assert.deepEqual(findTokenFaults(fleet.history), []);
        assert.deepEqual(findStaleWrites(fleet.history), []);
    });

    it("gives no token twice when a late write replaces the record at a revision that was assigned twice", async () => {
        const fleet = createPrimaryFleet({ groups: ["orders"] });
        await fleet.clock.advance(4_000);
        const [first, late] = fleet.names.filter(name => !fleet.holders().includes(name));
        const lost = fleet.store.readRecord("failover")!;
        await restoreStore(fleet, 20_000);
        await fleet.clock.advance(2_000);
        const { revision } = fleet.store.readRecord("failover")!;
        const tokens = fleet.names.map(name => fleet.vmOf(name).duty.heldToken()).filter(token => token !== undefined);
        fleet.store.writeRecord("failover", { ...lost.content as object, name: late, incarnation: first }, revision);
        await fleet.clock.advance(12_000);
        const next = fleet.vmOf(fleet.holders()[0]!).duty.heldToken()!;
        assert.ok(tokens.every(token => token < next));
        fleet.endpoints.crash(fleet.endpoints.leaderOf("orders"));
        await fleet.clock.advance(8_000);
        assert.deepEqual(findTokenFaults(fleet.history), []);
        assert.deepEqual(findIdleGroups(fleet.history, fleet.groups, fleet.clock.now() - 2_000), []);
    });
});
