import assert from "node:assert/strict";
import { test } from "node:test";
import { admissionConstants } from "../../admission/constants.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { paceConstants } from "../constants.js";
import { createRetryAllowance } from "./index.js";

const { busyRetryShare, busyRetriesPerSecond } = paceConstants;
const never = new AbortController().signal;

test("retries stay within a share of the statements, a number per second and the reserve; others wait", async () => {
    const clock = createManualClock();
    const allowance = createRetryAllowance(clock);
    const allowed: Promise<boolean>[] = [];
    for (let statement = 0; statement < 500; statement += 1) {
        allowance.countStatement("orders");
        allowed.push(allowance.waitForRetry("orders", clock.now() + 200, never));
        await clock.advance(10);
    }
    await clock.advance(1_000);
    const retries = (await Promise.all(allowed)).filter(isAllowed => isAllowed).length;
    const bound = 500 * busyRetryShare + 5 * busyRetriesPerSecond + admissionConstants.maximumRetryBalance;
    assert.ok(
        retries <= bound && retries > 0.9 * bound - admissionConstants.maximumRetryBalance,
        `${retries} of ${bound}`,
    );
});

test("a light load is retried at once, and a stop ends the wait", async () => {
    const clock = createManualClock();
    const allowance = createRetryAllowance(clock);
    for (let retry = 0; retry < admissionConstants.maximumRetryBalance; retry += 1) {
        assert.equal(await allowance.waitForRetry("orders", clock.now() + 1, never), true);
    }
    assert.equal(await allowance.waitForRetry("orders", clock.now() + 10_000, AbortSignal.abort()), false);
});
