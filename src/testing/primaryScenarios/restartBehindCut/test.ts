import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Announcement } from "../../../duty/types/Announcement.js";
import { AnnouncementPhase } from "../../../duty/types/AnnouncementPhase.js";
import { createPrimaryFleet } from "../../createPrimaryFleet/index.js";
import { findStaleWrites } from "../../findStaleWrites/index.js";

describe("a change of primary after all VMs have restarted behind a cut", () => {
    [1, 2, 3].forEach(seed =>
        it(`acknowledges no write of the superseded primary, whose term no VM knows, seed ${seed}`, async () => {
            const fleet = createPrimaryFleet({ groups: ["orders"], seed });
            fleet.at(3_000, () => fleet.endpoints.crash("orders-1"));
            fleet.at(6_000, () => fleet.endpoints.recover("orders-1"));
            await fleet.clock.advance(9_000);
            const superseded = fleet.endpoints.leaderOf("orders");
            assert.equal(fleet.endpoints.get(superseded).term, 2);

            fleet.names.forEach(name => fleet.network.cut(name, superseded));
            fleet.names.forEach(fleet.kill);
            fleet.at(10_000, () => fleet.names.forEach(fleet.start));
            fleet.network.addRule(({ procedure, input }) => {
                if (procedure === "announce" && (input as Announcement).phase === AnnouncementPhase.Begun) {
                    fleet.names.forEach(name => fleet.network.restore(name, superseded));
                }
                return undefined;
            });
            await fleet.clock.advance(25_000);

            assert.notEqual(fleet.endpoints.leaderOf("orders"), superseded);
            assert.deepEqual(findStaleWrites(fleet.history), []);
        })
    );
});
