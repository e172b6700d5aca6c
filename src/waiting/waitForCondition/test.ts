import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { waitForCondition } from "./index.js";

const times = { limitMilliseconds: 100, checkMilliseconds: 20 };

describe("waitForCondition", () => {
    it("does not wait for what holds already", async () => {
        assert.equal(await waitForCondition(() => true, { clock: createManualClock(), ...times }), true);
    });

    it("ends as soon as a look finds the condition true", async () => {
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

    it("gives up after the limit", async () => {
        const clock = createManualClock();
        let looks = 0;
        const waited = waitForCondition(() => {
            looks += 1;
            return false;
        }, { clock, ...times });
        await clock.advance(200);
        assert.equal(await waited, false);
        assert.equal(looks, 6);
    });
});
