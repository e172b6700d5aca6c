import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { StopPhase } from "../types/StopPhase.js";
import { createGracefulStop } from "./index.js";

describe("createGracefulStop", () => {
    for (const graceMilliseconds of [1_000, 6_000, 60_000]) {
        it(`accepts less and less until before the end of ${graceMilliseconds} ms`, async () => {
            const clock = createManualClock();
            const stop = createGracefulStop(clock, graceMilliseconds);
            assert.equal(stop.phase(), StopPhase.Serving);
            stop.begin();
            const seen = new Set<StopPhase>();
            for (let elapsed = 0; elapsed < graceMilliseconds; elapsed += graceMilliseconds / 100) {
                seen.add(stop.phase());
                await clock.advance(graceMilliseconds / 100);
            }
            assert.deepEqual([...seen], [
                StopPhase.Leaving,
                StopPhase.Draining,
                StopPhase.Refusing,
                StopPhase.Aborting,
                StopPhase.Ending,
            ]);
        });
    }

    it("ends waits for connections once, while a statement can still be answered", async () => {
        const clock = createManualClock();
        const stop = createGracefulStop(clock, 6_000);
        stop.begin();
        await clock.advance(3_500);
        assert.equal(stop.waitsEnd.aborted, false);
        await clock.advance(200);
        assert.equal(stop.waitsEnd.aborted, true);
        assert.ok(stop.phase() < StopPhase.Ending);
    });
});
