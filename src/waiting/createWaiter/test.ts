import assert from "node:assert/strict";
import { test } from "node:test";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { createWaiter } from "./index.js";

test("a waiter with an already aborted signal expires only after it was returned", async () => {
    let expired: unknown;
    const waiter = createWaiter<void>({
        clock: createSystemClock(),
        timeoutMilliseconds: 1_000,
        signal: AbortSignal.abort(),
        onTimeout: () => {
            expired = waiter;
        },
        createTimeoutError: () => new Error("aborted"),
    });
    await assert.rejects(waiter.promise, /aborted/);
    assert.equal(expired, waiter);
});
