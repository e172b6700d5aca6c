import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { paceConstants } from "../constants.js";
import { createLatencyTrend } from "./index.js";

test("an endpoint at a tenth of its speed is seen as slow, a mix of short and long statements is not", async () => {
    const clock = createManualClock();
    const random = createRandomSource(1);
    const trend = createLatencyTrend(clock);
    let greatest = 0;
    for (let statement = 0; statement < 2_000; statement += 1) {
        await clock.advance(10);
        trend.record(random.next() < 0.1 ? 40 : 2);
        greatest = Math.max(greatest, trend.slowdown());
    }
    assert.ok(greatest < paceConstants.verySlowFactor, `${greatest}`);
    trend.restart();
    trend.record(60);
    trend.record(60);
    assert.ok(trend.slowdown() > paceConstants.slowFactor, `${trend.slowdown()}`);
});
