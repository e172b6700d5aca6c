import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { directoryConstants } from "../constants.js";
import type { Feed } from "../types/Feed.js";
import { followFeed } from "./index.js";

const watchMilliseconds = 1_800;
const version = { era: 1, revision: 1 };

describe("followFeed", () => {
    it("requests a prompt answer after a failure, and lists again when the history was dropped", async () => {
        const clock = createManualClock();
        const end = new AbortController();
        const calls: string[] = [];
        let watches = 0;
        const feed: Feed<string> = {
            list: async () => {
                calls.push("list");
                return { changes: [{ name: "main", ...version, item: `list ${calls.length}` }], ...version };
            },
            waitForChanges: async (_revision, waitMilliseconds) => {
                calls.push(`watch ${waitMilliseconds}`);
                watches += 1;
                if (watches === 1) {
                    throw new Error("no answer in time");
                }
                return watches === 2 ? { changes: [], ...version } : undefined;
            },
        };
        const updates = followFeed(feed, {
            clock,
            random: createRandomSource(1),
            signal: end.signal,
            watchMilliseconds: () => watchMilliseconds,
            onFailure: () => {},
            onAnswer: () => {},
            onRestored: () => {},
        });
        assert.equal((await updates.next()).value?.isSnapshot, true);
        const second = updates.next();
        await clock.advance(directoryConstants.maximumRetryMilliseconds);
        assert.equal((await second).value?.isSnapshot, true);
        end.abort();
        const { retryWatchMilliseconds } = directoryConstants;
        assert.deepEqual(calls, [
            "list",
            `watch ${watchMilliseconds}`,
            `watch ${retryWatchMilliseconds}`,
            `watch ${watchMilliseconds}`,
            "list",
        ]);
    });
});
