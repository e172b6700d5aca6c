import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createPrimaryFleet } from "../../createPrimaryFleet/index.js";
import { findStaleWrites } from "../../findStaleWrites/index.js";

describe("a holder that has restarted and knows only some of the VMs", () => {
    [1, 2, 3].forEach(seed =>
        it(`does not count itself in contact with all VMs while one that it does not know takes over, seed ${seed}`, async () => {
            const fleet = createPrimaryFleet({ groups: ["orders"], seed });
            await fleet.clock.advance(3_000);
            const [holder] = fleet.holders();
            const unknown = fleet.names.find(name => name !== holder)!;
            const known = fleet.names.filter(name => name !== unknown);

            known.forEach(name => fleet.network.cut(name, unknown));
            fleet.network.cut(unknown, "orders-1");
            fleet.kill(holder!);
            fleet.at(3_020, () => fleet.start(holder!));
            fleet.at(3_400, () => known.forEach(name => fleet.network.cut(name, "store")));
            await fleet.clock.advance(10_000);

            assert.notEqual(fleet.endpoints.leaderOf("orders"), "orders-1");
            assert.deepEqual(findStaleWrites(fleet.history), []);
        })
    );
});
