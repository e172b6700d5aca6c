import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import { createPromotionSite } from "../../testing/createPromotionSite/index.js";
import { promotionConstants } from "../constants.js";
import { ChangeReason } from "../types/ChangeReason.js";

const { newestLogWaitMilliseconds, newestLogWaitGapMilliseconds } = promotionConstants;

/** Creates a site whose primary, announced in term 2, is lost before another endpoint received an entry of that term. */
function createSiteWithLostSuccessor() {
    const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
    site.endpoints.set("i-1", { isPrimary: false, term: 1, entry: 9 });
    site.endpoints.set("i-2", { isPrimary: true, term: 2, entry: 10 });
    site.primaries.finishChange(site.group, "i-2", 2);
    site.unreachableIds.add("i-2");
    site.isolatedIds.add("i-2");
    return site;
}

type Site = ReturnType<typeof createSiteWithLostSuccessor>;

async function attemptChange(site: Site, reason = ChangeReason.Unreachable): Promise<void> {
    const change = site.changePrimary(site.group, site.primary(), reason).catch(() => {});
    await site.clock.advance(promotionConstants.catchUpMilliseconds + 100);
    await change;
}

/** Attempts a change that waits for the current primary, or for the promotion to take effect. */
async function attemptLongChange(site: Site, reason: ChangeReason, primary?: EndpointRecord): Promise<void> {
    const change = site.changePrimary(site.group, primary, reason).catch(() => {});
    await site.clock.advance(promotionConstants.promotionTimeoutMilliseconds);
    await change;
}

/** Attempts the change again and again, as the holder does. */
async function attemptChangeFor(site: Site, milliseconds: number): Promise<void> {
    const deadline = site.clock.now() + milliseconds;
    while (site.clock.now() < deadline && site.orderedIds.length === 0) {
        await attemptChange(site);
    }
}

describe("createSuccessorSearch", () => {
    [ChangeReason.Unreachable, ChangeReason.Leaving].forEach(reason =>
        it(`does not go back to a log of an earlier term while the announced primary may return, ${reason}`, async () => {
            const site = createSiteWithLostSuccessor();
            await attemptChange(site, reason);
            assert.deepEqual(site.orderedIds, []);
            assert.deepEqual(site.phases(), [], "callers are told of no change");
        })
    );

    it("takes the best log of an earlier term when the announced primary does not return in time", async () => {
        const site = createSiteWithLostSuccessor();
        await attemptChangeFor(site, newestLogWaitMilliseconds - 1_000);
        assert.deepEqual(site.orderedIds, []);
        await attemptChangeFor(site, 2_000);
        assert.deepEqual(site.orderedIds, ["i-1"]);
        assert.equal(site.primaries.primaryOf(site.group)?.id, "i-1");
    });

    it("waits anew when the announced primary was back in the meantime", async () => {
        const site = createSiteWithLostSuccessor();
        await attemptChangeFor(site, newestLogWaitMilliseconds - 1_000);
        await site.clock.advance(newestLogWaitGapMilliseconds);
        await attemptChangeFor(site, newestLogWaitMilliseconds - 1_000);
        assert.deepEqual(site.orderedIds, []);
    });

    it("does not wait for an announced primary that has committed nothing in its term", async () => {
        const site = createSiteWithLostSuccessor();
        site.primaries.recordPosition(site.primary(), { term: 1, entry: 8 });
        site.endpoints.set("i-3", { isPrimary: false, term: 1, entry: 8 });
        await attemptChange(site);
        assert.deepEqual(site.orderedIds, ["i-3"], "i-1 has an entry that the announced primary dropped");
    });

    it("does not bring back an entry that the announced primary dropped, although that has committed nothing", async () => {
        const site = createSiteWithLostSuccessor();
        site.primaries.recordPosition(site.primary(), { term: 1, entry: 8 });
        site.unreachableIds.add("i-3");
        await attemptChange(site);
        assert.deepEqual(site.orderedIds, []);
    });

    it("lets a primary step down that answers, although nothing is known of its log", async () => {
        const site = createSiteWithLostSuccessor();
        site.unreachableIds.delete("i-2");
        site.endpoints.set("i-2", { isPrimary: true, term: 2, entry: 7 });
        site.endpoints.set("i-3", { isPrimary: false, term: 2, entry: 7 });
        site.unreachableIds.add("i-1");
        await attemptChange(site, ChangeReason.Leaving);
        assert.deepEqual(site.orderedIds, ["i-3"]);
    });

    it("does not wait for an announced primary that has no record any more", async () => {
        const site = createSiteWithLostSuccessor();
        const lost = site.primary();
        site.lose("i-2");
        await site.clock.advance(10_000);
        const change = site.changePrimary(site.group, lost, ChangeReason.Unreachable);
        await site.clock.advance(1_000);
        await change;
        assert.deepEqual(site.orderedIds, ["i-1"]);
    });

    it("prefers a replica with an entry of the announced term to a longer log of an earlier one", async () => {
        const site = createSiteWithLostSuccessor();
        site.endpoints.set("i-3", { isPrimary: false, term: 2, entry: 8 });
        await attemptChange(site);
        assert.deepEqual(site.orderedIds, ["i-3"]);
        assert.deepEqual(site.phases(), [AnnouncementPhase.Begun, AnnouncementPhase.Finished]);
    });

    // STALE and ONE at a VM that was cut off, which knew neither the new endpoint nor that the primary was replaced.
    it("promotes no endpoint that a VM may not know in place of a primary that has not stepped down", async () => {
        const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
        site.unreachableIds.add("i-1").add("i-2");
        site.unknownIds.add("i-3");
        await attemptChange(site);
        assert.deepEqual(site.phases(), [], "the change does not even begin");
        site.unreachableIds.delete("i-2");
        site.endpoints.set("i-3", { isPrimary: false, term: 1, entry: 8 });
        await attemptChange(site);
        assert.deepEqual(site.orderedIds, ["i-2"], "it has a shorter log, and all VMs know it");
    });

    it("promotes an endpoint that a VM may not know once the primary has stepped down in the newest term", async () => {
        const site = createPromotionSite({ promote: async (_id, makePrimary) => makePrimary() });
        site.unknownIds.add("i-2").add("i-3");
        site.primaries.finishChange(site.group, "i-1", 2);
        await attemptLongChange(site, ChangeReason.Leaving, site.primary());
        assert.deepEqual(site.orderedIds, [], "no log shows the term of the primary that stepped down");
        site.endpoints.set("i-1", { isPrimary: true, term: 2 });
        site.endpoints.set("i-2", { isPrimary: false, term: 2 });
        await attemptLongChange(site, ChangeReason.Leaving, site.primary());
        assert.deepEqual(site.orderedIds, ["i-2"]);
    });

    it("promotes an endpoint that leads already, whoever knows it", async () => {
        const site = createPromotionSite({ promote: async () => {} });
        site.unreachableIds.add("i-1").add("i-3");
        site.unknownIds.add("i-2");
        site.endpoints.set("i-2", { isPrimary: true, term: 2 });
        await attemptLongChange(site, ChangeReason.Undecided);
        assert.deepEqual(site.orderedIds, ["i-2"]);
    });
});
