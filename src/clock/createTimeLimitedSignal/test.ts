import assert from "node:assert/strict";
import { test } from "node:test";
import { createSystemClock } from "../createSystemClock/index.js";
import { createTimeLimitedSignal } from "./index.js";

const clock = createSystemClock();
const aborted = (signal: AbortSignal) => new Promise(resolve => signal.addEventListener("abort", resolve));

test("the signal follows its parent and its time limit, until it is released", async () => {
    const parent = new AbortController();
    const followed = createTimeLimitedSignal(parent.signal, clock);
    const released = createTimeLimitedSignal(parent.signal, clock, 1);
    released.release();
    const limited = createTimeLimitedSignal(parent.signal, clock, 2);
    await aborted(limited.signal);
    assert.equal(released.signal.aborted, false);
    assert.equal(followed.signal.aborted, false);
    parent.abort();
    assert.equal(followed.signal.aborted, true);
    assert.equal(createTimeLimitedSignal(parent.signal, clock).signal.aborted, true);
});
