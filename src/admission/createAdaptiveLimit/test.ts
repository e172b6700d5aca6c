import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { admissionConstants } from "../constants.js";
import { createAdaptiveLimit } from "./index.js";

function createLimit() {
    let now = 0;
    const clock = { now: () => now, wallTime: () => now, sleep: () => Promise.resolve(), startTimer: () => () => {} };
    const limit = createAdaptiveLimit(clock);
    /** Sends as many requests as the limit allows; those above the capacity are refused. */
    function sendRound(capacity: number): number {
        now += admissionConstants.decreaseIntervalMilliseconds;
        let sent = 0;
        while (limit.tryAcquire()) {
            sent += 1;
        }
        for (let index = 0; index < sent; index += 1) {
            limit.release(index >= capacity);
        }
        return sent;
    }
    return { limit, sendRound };
}

test("the limit converges to the capacity and follows its changes", () => {
    const { limit, sendRound } = createLimit();
    for (const capacity of [20, 100, 5]) {
        for (let round = 0; round < 400; round += 1) {
            sendRound(capacity);
        }
        const sizes = Array.from({ length: 50 }, () => sendRound(capacity));
        const mean = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
        assert.ok(mean > 0.6 * capacity && mean < 1.4 * capacity, `mean ${mean} at capacity ${capacity}`);
    }
    assert.equal(limit.countInFlight(), 0);
});

test("the limit never falls below its minimum and does not grow while it is unused", () => {
    const { limit, sendRound } = createLimit();
    for (let round = 0; round < 50; round += 1) {
        sendRound(0);
    }
    assert.equal(limit.limit(), admissionConstants.minimumLimit);
    sendRound(100);
    const limitBefore = limit.limit();
    for (let index = 0; index < 1_000; index += 1) {
        limit.tryAcquire();
        limit.release(false);
    }
    assert.ok(limit.limit() <= limitBefore + 2);
});

test("a limit below one request spreads requests over time", async () => {
    const clock = createManualClock();
    const limit = createAdaptiveLimit(clock, {
        ...admissionConstants,
        initialLimit: 0.5,
        minimumLimit: 0.25,
        requestMilliseconds: () => 20,
    });
    assert.equal(limit.tryAcquire(), true);
    assert.equal(limit.millisecondsUntilFree(), Infinity, "one is in flight");
    limit.cancel();
    assert.equal(limit.millisecondsUntilFree(), 40);
    await clock.advance(40);
    assert.equal(limit.tryAcquire(), true);
    limit.reset(1);
    limit.acquire();
    limit.cancel();
    limit.cancel();
    limit.reset(0);
    assert.equal(limit.exactLimit(), 0.25);
    assert.equal(limit.millisecondsUntilFree(), 80, "a limit without a fraction left nothing that lasts");
});
