import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createMemoryRecords } from "../../testing/createMemoryRecords/index.js";
import { createPromotionSite } from "../../testing/createPromotionSite/index.js";

const synchronousReplicas = 1;
/** Longer than a lost endpoint stays in the directory. */
const lossMilliseconds = 8_000;
const failureMilliseconds = 10_000;

function createSite(options: Partial<Parameters<typeof createPromotionSite>[0]> = {}) {
    return createPromotionSite({
        synchronousReplicas,
        promote: async (_id, makePrimary) => makePrimary(),
        ...options,
    });
}

type Site = ReturnType<typeof createSite>;

function setEntry({ endpoints }: Site, id: string, entry: number): void {
    endpoints.set(id, { ...endpoints.get(id)!, entry });
}

describe("createGroupMembers", () => {
    it("promotes no replica that may lack what a lost one had acknowledged", async () => {
        const site = createSite();
        await site.coordinator.start();
        await site.clock.advance(1_000);
        setEntry(site, "i-3", 5);
        site.lose("i-2");
        await site.clock.advance(lossMilliseconds);
        site.unreachableIds.add("i-1");
        await site.clock.advance(failureMilliseconds);
        assert.deepEqual(site.orderedIds, []);
        site.unreachableIds.delete("i-1");
        await site.clock.advance(failureMilliseconds);
        assert.equal(site.primaries.primaryOf(site.group)?.id, "i-1");
        await site.coordinator.stop();
    });

    it("promotes the other replica once that has received all that the lost one may have had", async () => {
        const site = createSite();
        await site.coordinator.start();
        await site.clock.advance(1_000);
        setEntry(site, "i-3", 5);
        site.lose("i-2");
        await site.clock.advance(lossMilliseconds);
        setEntry(site, "i-3", 7);
        await site.clock.advance(1_000);
        site.unreachableIds.add("i-1");
        await site.clock.advance(failureMilliseconds);
        assert.deepEqual(site.orderedIds, ["i-3"]);
        await site.coordinator.stop();
    });

    it("counts a replica that starts anew without its log as another one", async () => {
        const site = createSite();
        await site.coordinator.start();
        await site.clock.advance(1_000);
        setEntry(site, "i-3", 5);
        setEntry(site, "i-2", 0);
        site.register("i-2", { startedAt: 2 });
        await site.clock.advance(1_000);
        site.unreachableIds.add("i-1");
        await site.clock.advance(failureMilliseconds);
        assert.deepEqual(site.orderedIds, []);
        await site.coordinator.stop();
    });

    it("knows as a new holder of a replica that was lost before", async () => {
        const records = createMemoryRecords();
        const former = createSite({ records });
        await former.coordinator.start();
        await former.clock.advance(1_000);
        await former.coordinator.stop();

        const site = createSite({ records, isNewHolder: true, lostIds: ["i-2"] });
        setEntry(site, "i-3", 5);
        await site.coordinator.start();
        await site.clock.advance(1_000);
        site.unreachableIds.add("i-1");
        await site.clock.advance(failureMilliseconds);
        assert.deepEqual(site.orderedIds, []);
        await site.coordinator.stop();
    });

    it("promotes no replica while earlier members cannot be read from the store", async () => {
        const records = createMemoryRecords();
        records.isAvailable = false;
        const site = createSite({ records });
        await site.coordinator.start();
        site.unreachableIds.add("i-1");
        await site.clock.advance(failureMilliseconds);
        assert.deepEqual(site.orderedIds, []);
        records.isAvailable = true;
        await site.clock.advance(failureMilliseconds);
        assert.equal(site.orderedIds.length, 1);
        await site.coordinator.stop();
    });

    it("reads a record from another writer as empty", async () => {
        const records = createMemoryRecords();
        await records.create("members", { groups: { orders: 7 } });
        const site = createSite({ records });
        await site.coordinator.start();
        await site.clock.advance(1_000);
        assert.deepEqual((await records.read("members"))?.content, {
            groups: { orders: ["i-1@1", "i-2@1", "i-3@1"] },
        });
        await site.coordinator.stop();
    });

    it("needs no members without synchronous replicas", async () => {
        const site = createSite({ synchronousReplicas: 0 });
        await site.coordinator.start();
        site.lose("i-2");
        site.unreachableIds.add("i-1");
        await site.clock.advance(failureMilliseconds);
        assert.deepEqual(site.orderedIds, ["i-3"]);
        await site.coordinator.stop();
    });
});
