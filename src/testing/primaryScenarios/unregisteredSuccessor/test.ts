import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { PromotionOrders } from "../../../promotions/types/PromotionOrders.js";
import { createPrimaryFleet } from "../../createPrimaryFleet/index.js";
import { findStaleWrites } from "../../findStaleWrites/index.js";

describe("a change whose end is unknown and whose successor no VM reaches", () => {
    [1, 2, 3].forEach(seed =>
        it(`vouches for no endpoint with a term lower than the announced one, seed ${seed}`, async () => {
            const fleet = createPrimaryFleet({ groups: ["orders"], seed });
            await fleet.clock.advance(3_000);

            fleet.names.forEach(name => fleet.network.cut(name, "orders-1"));
            fleet.network.addRule(({ from, procedure, input }) => {
                const { endpointId } = (input ?? {}) as Partial<Parameters<PromotionOrders["promote"]>[0]>;
                if (procedure === "promote") {
                    fleet.kill(from);
                    [...fleet.names, "orders-1", "store"].forEach(name => fleet.network.cut(name, endpointId!));
                    fleet.names.forEach(name => fleet.network.restore(name, "orders-1"));
                }
                return undefined;
            });
            await fleet.clock.advance(15_000);

            assert.notEqual(fleet.endpoints.leaderOf("orders"), "orders-1");
            assert.deepEqual(findStaleWrites(fleet.history), []);
        })
    );
});
