import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Announcement } from "../../../duty/types/Announcement.js";
import { createPrimaryFleet } from "../../createPrimaryFleet/index.js";
import { findStaleWrites } from "../../findStaleWrites/index.js";

describe("a VM that missed the beginning of a change in one group", () => {
    [1, 2, 3].forEach(seed =>
        it(`gets no lease after a later announcement of another group has reached it, seed ${seed}`, async () => {
            const fleet = createPrimaryFleet({ seed });
            await fleet.clock.advance(3_000);
            const [holder] = fleet.holders();
            const unaware = fleet.names.find(name => name !== holder)!;

            fleet.names.forEach(name => fleet.network.cut(name, "stock-1"));
            fleet.names.filter(name => name !== unaware).forEach(name => fleet.network.cut(name, "orders-1"));
            fleet.network.addRule(({ to, procedure, input }) => {
                const isAboutEndpoint = procedure === "askReached" || procedure === "command";
                const isAboutGroup = procedure === "announce" && (input as Announcement).group === "orders";
                return to === unaware && (isAboutEndpoint || isAboutGroup) ? { isRequestLost: true } : undefined;
            });
            await fleet.clock.advance(7_000);

            assert.notEqual(fleet.endpoints.leaderOf("orders"), "orders-1");
            assert.notEqual(fleet.endpoints.leaderOf("stock"), "stock-1");
            assert.deepEqual(findStaleWrites(fleet.history), []);
        })
    );
});
