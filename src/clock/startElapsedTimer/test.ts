import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { startElapsedTimer } from "./index.js";

describe("startElapsedTimer", () => {
    it("counts the time that only one of the clocks shows", () => {
        const time = { now: 100, wall: 5_000 };
        const elapsed = startElapsedTimer({ now: () => time.now, wallTime: () => time.wall });
        assert.equal(elapsed(), 0);
        time.now += 40;
        time.wall -= 1_000;
        assert.equal(elapsed(), 40);
        time.wall += 3_000;
        assert.equal(elapsed(), 2_000);
    });
});
