import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createConnectionWarmup } from "./index.js";

function createSite(limit: number, hasWaiting = false) {
    const clock = createManualClock();
    const opened: string[] = [];
    const pool = {
        openCount: (owner?: string) => opened.filter(each => each === owner).length,
        tryOpenAhead: (owner: string) => {
            const hasRoom = opened.length < limit;
            if (hasRoom) {
                opened.push(owner);
            }
            return hasRoom;
        },
    };
    const workspaces = ["large", "middle", "small"];
    const schedule = createConnectionWarmup(clock, () => [{
        pools: [pool],
        hasWaiting,
        listWorkspaces: () => workspaces,
    }]);
    return { clock, opened, schedule };
}

describe("createConnectionWarmup", () => {
    it("opens one connection for each workspace, the largest first, while there is room", async () => {
        for (const [limit, expected] of [[2, ["large", "middle"]], [9, ["large", "middle", "small"]]] as const) {
            const { clock, opened, schedule } = createSite(limit);
            schedule();
            await clock.advance(1_000);
            assert.deepEqual(opened, expected);
        }
    });

    it("opens none while statements wait", async () => {
        const { clock, opened, schedule } = createSite(9, true);
        schedule();
        await clock.advance(1_000);
        assert.deepEqual(opened, []);
    });
});
