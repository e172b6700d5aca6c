import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import { dutyConstants } from "../constants.js";
import { createLease } from "./index.js";

function createTwoClocks() {
    const times = { now: 0, wall: 1_000_000 };
    return {
        times,
        clock: { now: () => times.now, wallTime: () => times.wall, sleep: async () => {}, startTimer: () => () => {} },
        pass: (milliseconds: number): void => {
            times.now += milliseconds;
            times.wall += milliseconds;
        },
    };
}

describe("createLease", () => {
    it("starts before the renewal is sent", () => {
        const { clock, pass } = createTwoClocks();
        const lease = createLease(() => {});
        assert.equal(lease.isHeld(), false);
        const sinceRenewal = startElapsedTimer(clock);
        pass(400);
        lease.grant(sinceRenewal, {});
        pass(dutyConstants.leaseMilliseconds - 401);
        assert.ok(lease.isHeld());
        pass(1);
        assert.equal(lease.isHeld(), false);
    });

    it("ends when the machine was suspended, although the monotonic clock stopped", () => {
        const { clock, times } = createTwoClocks();
        const lease = createLease(() => {});
        lease.grant(startElapsedTimer(clock), {});
        times.wall += 3_500;
        assert.equal(lease.isHeld(), false);
    });
});
