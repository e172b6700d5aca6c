import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createPositionEvidence } from "./index.js";

describe("createPositionEvidence", () => {
    it("returns the oldest position that is recent enough", async () => {
        const clock = createManualClock();
        const evidence = createPositionEvidence();
        evidence.record("orders", startElapsedTimer(clock), { term: 3, entry: 10 });
        await clock.advance(100);
        evidence.record("orders", startElapsedTimer(clock), { term: 3, entry: 20 });
        await clock.advance(200);
        assert.deepEqual(evidence.coveringPosition("orders", 300), { term: 3, entry: 10 });
        assert.deepEqual(evidence.coveringPosition("orders", 299), { term: 3, entry: 20 });
        assert.equal(evidence.coveringPosition("orders", 199), undefined);
        assert.equal(evidence.coveringPosition("stock", 1_000), undefined);
        assert.equal(evidence.newestAge("orders"), 200);
        assert.equal(evidence.newestAge("stock"), undefined);
    });

    it("drops positions from a superseded primary", async () => {
        const clock = createManualClock();
        const evidence = createPositionEvidence();
        evidence.record("orders", startElapsedTimer(clock), { term: 3, entry: 10 });
        await clock.advance(100);
        evidence.record("orders", startElapsedTimer(clock), { term: 4, entry: 8 });
        await clock.advance(100);
        evidence.record("orders", startElapsedTimer(clock), { term: 3, entry: 12 });
        assert.deepEqual(evidence.coveringPosition("orders", 1_000), { term: 4, entry: 8 });
        assert.equal(evidence.coveringPosition("orders", 50), undefined);
    });
});
