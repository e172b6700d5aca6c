import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createMetrics } from "../../metrics/createMetrics/index.js";
import { createRetryAllowance } from "../../pace/createRetryAllowance/index.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createFailure } from "../createFailure/index.js";
import { createGracefulStop } from "../createGracefulStop/index.js";
import type { Attempt } from "../types/Attempt.js";
import { AttemptKind } from "../types/AttemptKind.js";
import { retryAttempts } from "./index.js";

const refused: Attempt = { kind: AttemptKind.Retryable, outcome: createFailure(FailureCode.Busy, "no slot") };
const finalAttempt: Attempt = { kind: AttemptKind.Final, outcome: { rows: ["data"] } };

function createSite(attempts: readonly Attempt[], expiresAt: number) {
    const clock = createManualClock();
    const remaining = [...attempts];
    const seen = { attempts: 0, retryable: 0 };
    const stop = createGracefulStop(clock, 6_000);
    const retryAllowance = createRetryAllowance(clock);
    const outcome = retryAttempts({
        group: "orders",
        expiresAt,
        attempt: async () => {
            seen.attempts += 1;
            return remaining.shift() ?? refused;
        },
        onRetryable: () => {
            seen.retryable += 1;
        },
    }, {
        clock,
        random: createRandomSource(1),
        metrics: createMetrics(),
        stop,
        retryAllowance,
    });
    return { clock, seen, outcome, stop, retryAllowance };
}

describe("retryAttempts", () => {
    it("retries until an attempt is final", async () => {
        const { clock, seen, outcome } = createSite([refused, refused, finalAttempt], 10_000);
        await clock.advance(1_000);
        assert.deepEqual((await outcome).rows, ["data"]);
        assert.deepEqual(seen, { attempts: 3, retryable: 2 });
    });

    it("makes no attempt that would begin after the time limit, and returns at once", async () => {
        const { seen, outcome } = createSite([refused], 0);
        assert.equal((await outcome).failure?.code, FailureCode.Busy);
        assert.deepEqual(seen, { attempts: 1, retryable: 1 });
    });

    it("starts no further attempt once a stop has ended the waits", async () => {
        const { clock, seen, outcome, stop } = createSite([], 20_000);
        stop.begin();
        await clock.advance(3_650);
        assert.equal((await outcome).failure?.code, FailureCode.Busy);
        const { attempts } = seen;
        await clock.advance(1_000);
        assert.equal(seen.attempts, attempts);
    });

    it("makes a retry wait while the allowance is used up by statements that found no slot", async () => {
        const noSlot: Attempt = { ...refused, hadNoSlot: true };
        const { clock, retryAllowance, seen, outcome } = createSite([noSlot, finalAttempt], 10_000);
        while (await retryAllowance.waitForRetry("orders", 0, AbortSignal.abort())) {
            // Uses up the reserve.
        }
        await clock.advance(100);
        assert.equal(seen.attempts, 1);
        await clock.advance(200);
        assert.deepEqual((await outcome).rows, ["data"]);
    });
});
