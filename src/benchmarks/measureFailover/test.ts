import assert from "node:assert/strict";
import { test } from "node:test";
import { measureFailover } from "./index.js";

test("a small measurement of failover service and lease completes and loses no acknowledged write", async () => {
    const lease = { leaseMilliseconds: 300, outageMilliseconds: 400 };
    const options = { ...lease, failureCount: 1, seed: 1, maximumFailoversInOneOutage: 2 };
    const figures = await measureFailover(options);
    assert.equal(figures.killed.count, 1);
    assert.ok(figures.failoversInOneOutage === 2);
    assert.ok(figures.leaseWhilePlatformDown.longestMilliseconds > figures.outageMilliseconds);
    assert.ok(figures.acknowledgedWrites > 0);
    assert.equal(figures.lostWrites, 0);
});
