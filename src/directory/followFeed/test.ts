import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Clock } from "../../clock/types/Clock.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { directoryConstants } from "../constants.js";
import type { Feed } from "../types/Feed.js";
import { followFeed } from "./index.js";

const watchMilliseconds = 1_800;
const version = { era: 1, revision: 1 };

function createOptions(clock: Clock, signal: AbortSignal): Parameters<typeof followFeed>[1] {
    return {
        clock,
        random: createRandomSource(1),
        signal,
        watchMilliseconds: () => watchMilliseconds,
        onFailure: () => {},
        onAnswer: () => {},
        onRestored: () => {},
    };
}

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
        const updates = followFeed(feed, createOptions(clock, end.signal));
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

    it("lists again when a watch was answered by a restored store, which has passed the revision of the watch", async () => {
        const clock = createManualClock();
        const end = new AbortController();
        const restores: string[] = [];
        let answers = 0;
        let isRestored = false;
        const feed: Feed<string> = {
            list: async () => {
                const current = isRestored ? { era: 2, revision: 40 } : { era: 1, revision: 30 };
                return { changes: [{ name: "main", ...current, item: `era ${current.era}` }], ...current };
            },
            waitForChanges: async () => {
                if (isRestored) {
                    end.abort();
                }
                isRestored = true;
                return { changes: [], era: 2, revision: 40 };
            },
        };
        const updates = followFeed(feed, {
            ...createOptions(clock, end.signal),
            onAnswer: () => {
                answers += 1;
            },
            onRestored: (previous, current) => restores.push(`${previous.era} to ${current.era}`),
        });
        assert.equal((await updates.next()).value?.changes[0]?.item, "era 1");
        const update = (await updates.next()).value;
        assert.deepEqual([update?.isSnapshot, update?.changes[0]?.item], [true, "era 2"]);
        assert.deepEqual(restores, ["1 to 2"]);
        // The watch of the previous era brought nothing up to date.
        assert.equal(answers, 2);
        end.abort();
    });
});
