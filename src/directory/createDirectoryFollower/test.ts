import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createMetrics } from "../../metrics/createMetrics/index.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createPopulatedDirectory } from "../../testing/createPopulatedDirectory/index.js";
import type { EndpointRecord } from "../types/EndpointRecord.js";
import type { Feed } from "../types/Feed.js";
import type { FeedChange } from "../types/FeedChange.js";
import { createDirectoryFollower } from "./index.js";

describe("createDirectoryFollower", () => {
    it("hears of later entries although one could not be applied", async () => {
        const clock = createManualClock();
        const directory = createPopulatedDirectory(clock, []);
        const batches: FeedChange<EndpointRecord>[][] = [["i-1"], ["odd"], ["i-2"]].map(([id = ""], index) => [
            { name: id, era: 1, revision: index + 2, item: createEndpointRecord({ id, era: 1, revision: index + 2 }) },
        ]);
        const firstPage = { changes: [], era: 1, revision: 1 };
        const feed: Feed<EndpointRecord> = {
            list: async () => firstPage,
            waitForChanges: async (revision, waitMilliseconds) => {
                await clock.sleep(waitMilliseconds);
                return { changes: batches[revision - 1] ?? [], era: 1, revision: revision + 1 };
            },
        };
        const logged: string[] = [];
        const follower = createDirectoryFollower({
            clock,
            random: createRandomSource(1),
            store: {
                endpoints: feed,
                routingTables: { list: async () => firstPage, waitForChanges: () => new Promise(() => {}) },
            },
            directory: {
                ...directory,
                applyEndpoints: update => {
                    if (update.changes.some(({ name }) => name === "odd")) {
                        throw new Error("cannot be applied");
                    }
                    directory.applyEndpoints(update);
                },
            },
            policy: { isWatching: () => true, watchMilliseconds: () => 100 },
            freshness: { recordAnswer: () => {} },
            metrics: createMetrics(),
            log: message => logged.push(message),
        });
        await follower.start();
        await clock.advance(1_000);
        assert.deepEqual(directory.endpointsOf("orders").map(({ id }) => id), ["i-1", "i-2"]);
        assert.ok(logged.includes("an update from the platform's store could not be applied"));
        await follower.stop();
    });
});
