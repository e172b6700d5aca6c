import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AnnouncementPhase } from "../../../duty/types/AnnouncementPhase.js";
import { createDutyFleet } from "../../createDutyFleet/index.js";

describe("a holder that was replaced while it decided on a primary", () => {
    it("announces nothing in the range of sequence numbers of its successor", async () => {
        const fleet = createDutyFleet(["vm-1", "vm-2"]);
        await fleet.start();
        await fleet.clock.advance(2_000);
        const replaced = fleet.holders()[0]!;
        const successor = replaced === "vm-1" ? "vm-2" : "vm-1";
        const holder = { ...fleet.identityOf(successor), token: 9 };
        fleet.dutyOf(replaced).applyHolder(holder);

        const decision = { group: "orders", phase: AnnouncementPhase.Finished, term: 1, endpointId: "i-1" };
        const announcing = fleet.dutyOf(replaced).announce(decision, 1).catch(() => {});
        await fleet.clock.advance(1_000);
        await announcing;

        const beginning = {
            sequence: { token: 9, count: 1 },
            group: "orders",
            phase: AnnouncementPhase.Begun,
            term: 2,
        };
        fleet.dutyOf(replaced).applyAnnouncement(beginning);
        assert.deepEqual(fleet.announcementsOf(replaced), [beginning]);
    });
});
