import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createPromotionSite } from "../../testing/createPromotionSite/index.js";
import { promotionConstants } from "../constants.js";

const { Begun, Finished } = AnnouncementPhase;
const { settlementMilliseconds, checkIntervalMilliseconds } = promotionConstants;

describe("createPromotionCoordinator", () => {
    it("replaces a primary that is leaving", async () => {
        const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
        await site.coordinator.start();
        site.register("i-1", { isLeaving: true });
        await site.clock.advance(1_500);
        assert.deepEqual(site.phases(), [Begun, Finished]);
        assert.notEqual(site.primary().id, "i-1");
        await site.coordinator.stop();
    });

    it("announces each primary as a new holder before leases vouch for it, whatever the previous holder had begun", async () => {
        const site = createPromotionSite({ isNewHolder: true, promote: async (_id, makePrimary) => makePrimary() });
        site.isolatedIds.add("i-1");
        site.makePrimary("i-2");
        site.register("i-2", { isPrimary: false });
        await site.coordinator.start();
        assert.equal(site.isGranting(), false);
        await site.clock.advance(3 * checkIntervalMilliseconds);
        assert.ok(site.isGranting());
        const { group, phase, term, endpointId } = site.announcements().at(-1)!;
        assert.deepEqual({ group, phase, term, endpointId }, {
            group: site.group,
            phase: Finished,
            term: 2,
            endpointId: "i-2",
        });
        await site.coordinator.stop();
    });

    it("lets a new holder grant leases although no endpoint of one group answers or can be promoted", async () => {
        const site = createPromotionSite({ isNewHolder: true, promote: async (_id, makePrimary) => makePrimary() });
        for (const id of ["i-1", "i-2", "i-3"]) {
            site.register(id, { isLeaving: true });
            site.unreachableIds.add(id);
        }
        await site.coordinator.start();
        await site.clock.advance(5_000);
        assert.ok(site.isGranting());
        assert.ok(site.primaries.isChangeUnfinished(site.group));
        await site.coordinator.stop();
    });

    it("decides on a primary as a new holder although replicas are too busy to report their status", async () => {
        const site = createPromotionSite({ isNewHolder: true, promote: async (_id, makePrimary) => makePrimary() });
        ["i-2", "i-3"].forEach(id => site.busyIds.add(id));
        await site.coordinator.start();
        await site.clock.advance(3 * checkIntervalMilliseconds);
        assert.deepEqual(site.phases(), [Finished]);
        assert.ok(site.isGranting());
        await site.coordinator.stop();
    });

    it("keeps a primary with synchronous replicas as a new holder although one of them does not answer", async () => {
        const site = createPromotionSite({
            isNewHolder: true,
            synchronousReplicas: 1,
            promote: async (_id, makePrimary) => makePrimary(),
        });
        site.unreachableIds.add("i-3");
        await site.coordinator.start();
        await site.clock.advance(2_000);
        assert.deepEqual(site.phases(), [Begun, Finished]);
        assert.equal(site.primaries.primaryOf(site.group)?.id, "i-1");
        await site.coordinator.stop();
    });

    it("cancels no change as a new holder that has not announced the primary", async () => {
        const site = createPromotionSite({
            isNewHolder: true,
            promote: async () => {
                throw createError(ErrorKind.Conflict, "The order failed.", { remedy: "Try again." });
            },
        });
        site.unreachableIds.add("i-1");
        await site.coordinator.start();
        await site.clock.advance(1_000);
        assert.deepEqual(site.phases(), [Begun]);
        assert.ok(site.primaries.isChangeUnfinished(site.group));
        await site.coordinator.stop();
    });

    it("settles a change that a previous holder left unfinished, once its order can no longer take effect", async () => {
        const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
        site.primaries.beginChange(site.group, 2);
        await site.coordinator.start();
        await site.clock.advance(settlementMilliseconds);
        assert.deepEqual(site.phases(), []);
        await site.clock.advance(2 * checkIntervalMilliseconds);
        assert.deepEqual(site.phases(), [Finished]);
        assert.equal(site.primaries.primaryOf(site.group)?.id, "i-1");
        assert.deepEqual(site.orderedIds, []);
        await site.coordinator.stop();
    });

    it("announces no primary of a term below an observed one after a change whose end is unknown", async () => {
        const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
        site.isolatedIds.add("i-1");
        site.primaries.beginChange(site.group, 2);
        site.makePrimary("i-2");
        site.unreachableIds.add("i-2");
        site.register("i-2", { isPrimary: false });
        await site.coordinator.start();
        await site.clock.advance(settlementMilliseconds + 2_000);
        const announced = site.announcements().at(-1)!;
        assert.equal(announced.phase, Finished);
        assert.ok(announced.term > 2, `term ${announced.term}`);
        await site.coordinator.stop();
    });

    it("decides on a primary when the announced one has no record any more", async () => {
        const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
        site.primaries.finishChange(site.group, "i-9", 2);
        await site.coordinator.start();
        await site.clock.advance(settlementMilliseconds + 2_000);
        const { phase, endpointId, term = 0 } = site.announcements().at(-1)!;
        assert.equal(phase, Finished);
        assert.ok(term >= 2, `${endpointId} in term ${term}`);
        await site.coordinator.stop();
    });

    it("starts a new term when an endpoint that may have been promoted does not answer", async () => {
        const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
        site.primaries.beginChange(site.group, 2);
        site.unreachableIds.add("i-2");
        await site.coordinator.start();
        await site.clock.advance(settlementMilliseconds + 2_000);
        assert.deepEqual(site.orderedIds, ["i-1"]);
        assert.equal(site.announcements().at(-1)?.term, 2);
        assert.equal(site.primaries.primaryOf(site.group)?.id, "i-1");
        await site.coordinator.stop();
    });

    it("announces no claimant before its promotion has taken effect", async () => {
        const promotionMilliseconds = 600;
        const site = createPromotionSite({
            promote: async (_id, makePrimary) => void site.clock.sleep(promotionMilliseconds).then(makePrimary),
        });
        site.isolatedIds.add("i-1");
        site.makePrimary("i-2");
        site.primaries.beginChange(site.group, 2);
        site.register("i-2", { isPrimary: false });
        ["i-2", "i-3"].forEach(id => site.unreachableIds.add(id));
        await site.coordinator.start();
        await site.clock.advance(settlementMilliseconds + 2_000);
        const finished = site.announcements().filter(({ phase }) => phase === Finished);
        assert.deepEqual(finished.map(({ endpointId, term }) => ({ endpointId, term })), [{
            endpointId: "i-1",
            term: 3,
        }]);
        await site.coordinator.stop();
    });

    it("announces a claimant whose term an answered order leaves unchanged only after the time of a promotion", async () => {
        const site = createPromotionSite({ promote: async () => {} });
        site.primaries.beginChange(site.group, 2);
        ["i-2", "i-3"].forEach(id => site.unreachableIds.add(id));
        await site.coordinator.start();
        await site.clock.advance(settlementMilliseconds + promotionConstants.longestPromotionMilliseconds);
        assert.deepEqual(site.phases(), [Begun]);
        await site.clock.advance(1_000);
        assert.deepEqual(site.phases(), [Begun, Finished]);
        assert.equal(site.announcements().at(-1)?.term, 1);
        await site.coordinator.stop();
    });

    it("changes the primary again when no endpoint can settle an unfinished change", async () => {
        const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
        site.primaries.beginChange(site.group, 2);
        site.unreachableIds.add("i-1");
        await site.coordinator.start();
        await site.clock.advance(settlementMilliseconds + 4_000);
        assert.equal(site.orderedIds.length, 1);
        assert.equal(site.phases().at(-1), Finished);
        assert.equal(site.primaries.isChangeUnfinished(site.group), false);
        await site.coordinator.stop();
    });

    it("begins no change as a stopping holder, and finishes the one that has begun", async () => {
        const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
        await site.coordinator.start();
        site.register("i-1", { isLeaving: true });
        await site.clock.advance(200);
        site.coordinator.leave();
        assert.ok(site.coordinator.isChanging());
        await site.clock.advance(1_500);
        assert.deepEqual(site.phases(), [Begun, Finished]);
        assert.equal(site.coordinator.isChanging(), false);
        assert.equal(site.coordinator.hasUnknownEnds(), false);
        site.register(site.primary().id, { isLeaving: true });
        await site.clock.advance(1_500);
        assert.deepEqual(site.phases(), [Begun, Finished]);
        await site.coordinator.stop();
    });
});
