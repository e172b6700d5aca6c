import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Announcement } from "../../../duty/types/Announcement.js";
import { AnnouncementPhase } from "../../../duty/types/AnnouncementPhase.js";
import { createPrimaryFleet } from "../../createPrimaryFleet/index.js";
import { findStaleWrites } from "../../findStaleWrites/index.js";

describe("a holder that is lost while its order to promote is in flight", () => {
    [1, 2, 3].forEach(seed =>
        it(`leaves no lease to VMs that missed the beginning of its change, from a new holder that missed it too, seed ${seed}`, async () => {
            const fleet = createPrimaryFleet({ groups: ["orders"], seed });
            await fleet.clock.advance(3_000);
            const [holder] = fleet.holders();
            const [successor, unaware, ...informed] = fleet.names.filter(name => name !== holder);

            fleet.names.filter(name => name !== unaware).forEach(name => fleet.network.cut(name, "orders-1"));
            const stopLosingProbes = fleet.network.addRule(({ procedure }) =>
                procedure === "askReached" ? { isRequestLost: true } : undefined
            );
            fleet.network.addRule(({ from, procedure, input }) => {
                if (procedure === "announce" && (input as Announcement).phase === AnnouncementPhase.Begun) {
                    [successor!, unaware!].forEach(name => fleet.network.cut(holder!, name));
                }
                if (procedure !== "promote" || from !== holder) {
                    return undefined;
                }
                // The VMs that know of the change go with the holder.
                [holder, ...informed].forEach(name => fleet.kill(name!));
                stopLosingProbes();
                fleet.store.refusedVms.add(unaware!);
                return { requestDelayMilliseconds: 2_500 };
            });
            await fleet.clock.advance(12_000);

            assert.notEqual(fleet.endpoints.leaderOf("orders"), "orders-1");
            assert.deepEqual(findStaleWrites(fleet.history), []);
        })
    );
});
