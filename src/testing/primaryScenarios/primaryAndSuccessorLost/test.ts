import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createPrimaryFleet } from "../../createPrimaryFleet/index.js";
import { findIdleGroups } from "../../findIdleGroups/index.js";
import { findStaleWrites } from "../../findStaleWrites/index.js";

const successorLostAt = 7_000;

/**
 * Loses a primary whose replicas receive nothing, and then its successor, whose commits no other endpoint has; the first
 * primary is back with its log when the successor is lost.
 */
async function losePrimaryAndSuccessor(seed: number) {
    const fleet = createPrimaryFleet({ groups: ["orders"], seed });
    await fleet.clock.advance(3_000);
    for (const [left, right] of [["orders-1", "orders-2"], ["orders-1", "orders-3"], ["orders-2", "orders-3"]]) {
        fleet.network.cut(left!, right!);
    }
    await fleet.clock.advance(1_000);
    fleet.endpoints.crash("orders-1");
    await fleet.clock.advance(successorLostAt - fleet.clock.now());
    const successor = fleet.endpoints.leaderOf("orders");
    assert.notEqual(successor, "orders-1");
    assert.ok(fleet.endpoints.get(successor).position.term > 1);
    fleet.endpoints.recover("orders-1");
    fleet.endpoints.crash(successor);
    return { fleet, successor };
}

describe("a primary and its successor that are lost one after the other, the first one back with its log", () => {
    [1, 2, 3].forEach(seed =>
        it(`does not go back to the log of the earlier term while the successor restarts, seed ${seed}`, async () => {
            const { fleet, successor } = await losePrimaryAndSuccessor(seed);
            fleet.at(successorLostAt + 7_000, () => fleet.endpoints.recover(successor));
            await fleet.clock.advance(12_000);

            assert.equal(fleet.endpoints.leaderOf("orders"), successor);
            assert.deepEqual(findIdleGroups(fleet.history, fleet.groups, successorLostAt + 9_000), []);
            assert.deepEqual(findStaleWrites(fleet.history), []);
        })
    );

    [1, 2, 3].forEach(seed =>
        it(`does not go back to it as a new holder, when the previous one is lost with the successor, seed ${seed}`, async () => {
            const { fleet, successor } = await losePrimaryAndSuccessor(seed);
            fleet.holders().forEach(fleet.kill);
            fleet.at(successorLostAt + 7_000, () => fleet.endpoints.recover(successor));
            await fleet.clock.advance(18_000);

            assert.equal(fleet.endpoints.leaderOf("orders"), successor);
            assert.deepEqual(findIdleGroups(fleet.history, fleet.groups, successorLostAt + 15_000), []);
            assert.deepEqual(findStaleWrites(fleet.history), []);
        })
    );

    [1, 2, 3].forEach(seed =>
        it(`goes back to it when the successor does not return, seed ${seed}`, async () => {
            const { fleet, successor } = await losePrimaryAndSuccessor(seed);
            await fleet.clock.advance(20_000);

            assert.notEqual(fleet.endpoints.leaderOf("orders"), successor);
            assert.deepEqual(findIdleGroups(fleet.history, fleet.groups, successorLostAt + 16_000), []);
            assert.deepEqual(findStaleWrites(fleet.history), []);
        })
    );
});
