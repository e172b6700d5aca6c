import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createPrimaryFleet } from "../../createPrimaryFleet/index.js";
import { findIdleGroups } from "../../findIdleGroups/index.js";
import { findStaleReads } from "../../findStaleReads/index.js";
import { findStaleWrites } from "../../findStaleWrites/index.js";

const groups = ["orders"];
const formerEndpoints = ["orders-1", "orders-2", "orders-3"];
const newEndpoint = "orders-4";

function findStaleAnswers(history: Parameters<typeof findStaleReads>[0]): readonly string[] {
    return [...findStaleReads(history), ...findStaleWrites(history)];
}

/** Starts a fleet, cuts a VM off from the others and the store, and then starts a new endpoint. */
async function startFleet(seed: number) {
    const fleet = createPrimaryFleet({ groups, seed, sparesPerGroup: 1 });
    await fleet.clock.advance(3_000);
    const isolated = fleet.names.find(name => !fleet.holders().includes(name))!;
    const others = fleet.names.filter(name => name !== isolated);
    [...others, "store"].forEach(name => fleet.network.cut(isolated, name));
    await fleet.clock.advance(500);
    fleet.endpoints.recover(newEndpoint);
    await fleet.clock.advance(1_500);
    return { ...fleet, isolated, others };
}

/** Cuts former endpoints off from all but each other and the isolated VM. */
function hideEndpoints({ network, others }: Awaited<ReturnType<typeof startFleet>>, hidden: readonly string[]): void {
    const visible = [...formerEndpoints, newEndpoint].filter(id => !hidden.includes(id));
    hidden.forEach(id => [...others, "store", ...visible].forEach(name => network.cut(id, name)));
}

// ONE and STALE: the VM that was cut off went on at the former primary, since it did not know the promoted endpoint.
describe("a successor that registered after a VM was cut off", () => {
    for (const seed of [1, 2, 3]) {
        it(`is not promoted while that VM may rely on the former primary, seed ${seed}`, async () => {
            const fleet = await startFleet(seed);
            hideEndpoints(fleet, formerEndpoints);
            await fleet.clock.advance(50_000);
            assert.equal(fleet.endpoints.leaderOf("orders"), "orders-1");
            await fleet.clock.advance(40_000);
            assert.equal(fleet.endpoints.leaderOf("orders"), newEndpoint, "the VM relies on no primary any more");
            assert.deepEqual(findStaleAnswers(fleet.history), []);
            assert.deepEqual(findIdleGroups(fleet.history, groups, fleet.clock.now() - 5_000), []);
        });

        it(`is not promoted by the next holder either, seed ${seed}`, async () => {
            const fleet = await startFleet(seed);
            hideEndpoints(fleet, formerEndpoints);
            fleet.holders().forEach(fleet.kill);
            await fleet.clock.advance(40_000);
            assert.equal(fleet.endpoints.leaderOf("orders"), "orders-1");
            assert.deepEqual(findStaleAnswers(fleet.history), []);
        });

        it(`is passed over for an endpoint that the VM knows, seed ${seed}`, async () => {
            const fleet = await startFleet(seed);
            hideEndpoints(fleet, ["orders-1"]);
            await fleet.clock.advance(10_000);
            assert.notEqual(fleet.endpoints.leaderOf("orders"), "orders-1");
            assert.notEqual(fleet.endpoints.leaderOf("orders"), newEndpoint);
            assert.deepEqual(findStaleAnswers(fleet.history), []);
            assert.deepEqual(findIdleGroups(fleet.history, groups, fleet.clock.now() - 5_000), []);
        });

        it(`is promoted in a release, and no read of the former primary is returned, seed ${seed}`, async () => {
            const fleet = await startFleet(seed);
            fleet.network.addRule(({ procedure }) => {
                if (procedure === "promote") {
                    formerEndpoints.forEach(id => fleet.network.cut(id, newEndpoint));
                }
                return undefined;
            });
            for (const id of formerEndpoints) {
                fleet.endpoints.get(id).isLeaving = true;
            }
            await fleet.clock.advance(5_000);
            assert.equal(fleet.endpoints.leaderOf("orders"), newEndpoint);
            assert.deepEqual(findStaleAnswers(fleet.history), []);
            assert.deepEqual(findIdleGroups(fleet.history, groups, fleet.clock.now() - 2_000), []);
        });

        it(`is promoted in order, after the former primary has stepped down, seed ${seed}`, async () => {
            const fleet = await startFleet(seed);
            fleet.endpoints.crash("orders-2");
            fleet.endpoints.crash("orders-3");
            fleet.endpoints.get("orders-1").isLeaving = true;
            await fleet.clock.advance(5_000);
            assert.equal(fleet.endpoints.leaderOf("orders"), newEndpoint);
            assert.deepEqual(findStaleAnswers(fleet.history), []);
            assert.deepEqual(findIdleGroups(fleet.history, groups, fleet.clock.now() - 2_000), []);
        });
    }
});
