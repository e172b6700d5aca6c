import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { OutgoingKind } from "../../../statements/types/OutgoingKind.js";
import { createPrimaryFleet } from "../../createPrimaryFleet/index.js";
import { findIdleGroups } from "../../findIdleGroups/index.js";
import { findStaleWrites } from "../../findStaleWrites/index.js";

describe("an announced primary that has stepped down while no other endpoint leads", () => {
    [1, 2, 3].forEach(seed =>
        it(`is replaced by a holder without callers, seed ${seed}`, async () => {
            const fleet = createPrimaryFleet({
                groups: ["orders"],
                seed,
                hasCallers: name => !fleet.holders().includes(name),
            });
            fleet.at(3_000, () => fleet.endpoints.crash("orders-1"));
            fleet.at(5_000, () => fleet.endpoints.recover("orders-1"));
            await fleet.clock.advance(8_000);
            const stepped = fleet.endpoints.leaderOf("orders");
            assert.notEqual(stepped, "orders-1");

            // A holder that nobody hears of any more has begun another change.
            fleet.endpoints.run(stepped, [{ kind: OutgoingKind.StepDown, term: 3 }]);
            await fleet.clock.advance(12_000);

            assert.deepEqual(findIdleGroups(fleet.history, fleet.groups, 18_000), []);
            assert.deepEqual(findStaleWrites(fleet.history), []);
        })
    );
});
