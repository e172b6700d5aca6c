import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { findIdleGroups } from "../findIdleGroups/index.js";
import { findStaleWrites } from "../findStaleWrites/index.js";
import { findTokenFaults } from "../findTokenFaults/index.js";
import { HistoryEventKind } from "../types/HistoryEventKind.js";
import { createPrimaryFleet } from "./index.js";

describe("createPrimaryFleet", () => {
    it("replaces a crashed primary while the other group is served", async () => {
        const fleet = createPrimaryFleet();
        await fleet.clock.advance(3_000);
        fleet.endpoints.crash("orders-1");
        await fleet.clock.advance(5_000);

        assert.notEqual(fleet.endpoints.leaderOf("orders"), "orders-1");
        assert.equal(fleet.endpoints.leaderOf("stock"), "stock-1");
        assert.deepEqual(findIdleGroups(fleet.history, fleet.groups, 7_500), []);
        assert.deepEqual(findStaleWrites(fleet.history), []);
        assert.deepEqual(findTokenFaults(fleet.history), []);
    });

    it("has the same history for the same seed", async () => {
        const run = async () => {
            const fleet = createPrimaryFleet({ seed: 5 });
            fleet.at(2_000, () => fleet.kill(fleet.holders()[0]!));
            await fleet.clock.advance(4_000);
            return fleet.history;
        };
        assert.deepEqual(await run(), await run());
    });

    it("keeps the order of a VM that was killed after it had sent it", async () => {
        const fleet = createPrimaryFleet({ groups: ["orders"] });
        fleet.network.addRule(({ procedure, from }) => {
            if (procedure === "promote") {
                fleet.kill(from);
            }
            return undefined;
        });
        fleet.at(2_000, () => fleet.endpoints.crash("orders-1"));
        await fleet.clock.advance(5_000);

        assert.equal(fleet.history.filter(({ kind }) => kind === HistoryEventKind.Promotion).length, 2);
    });
});
