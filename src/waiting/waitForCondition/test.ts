import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { waitForCondition } from "./index.js";

const times = { timeoutMilliseconds: 100, pollingMilliseconds: 20 };

describe("waitForCondition", () => {
    it("does not wait if the condition already holds", async () => {
        assert.equal(await waitForCondition(() => true, { clock: createManualClock(), ...times }), true);
    });

    it("ends at the first check that finds the condition true", async () => {
        const clock = createManualClock();
        const startedAt = clock.now();
        let endedAt: number | undefined;
        const isTrue = () => clock.now() - startedAt >= 50;
        const waited = waitForCondition(isTrue, { clock, ...times }).then(holds => {
            endedAt = clock.now();
            return holds;
        });
        await clock.advance(100);
        assert.equal(await waited, true);
        assert.equal(endedAt! - startedAt, 60);
    });

    it("returns false after the timeout", async () => {
        const clock = createManualClock();
        let checkCount = 0;
        const waited = waitForCondition(() => {
            checkCount += 1;
            return false;
        }, { clock, ...times });
        await clock.advance(200);
        assert.equal(await waited, false);
        assert.equal(checkCount, 6);
    });
});
