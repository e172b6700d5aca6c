import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createReturningFleet } from "../../testing/createReturningFleet/index.js";
import type { LoadOutcome } from "../../testing/types/LoadOutcome.js";
import { placementConstants } from "../constants.js";
import { createOpeningPace } from "./index.js";

const { darkConnectionMilliseconds, returnNoticeMilliseconds, connectionLimitPauseMilliseconds } = placementConstants;

function createPace(isHolding = true) {
    const clock = createManualClock();
    const random = createRandomSource(1);
    const state = { isHolding };
    const pace = createOpeningPace({ clock, random, startedAt: 0, isHolding: () => state.isHolding });
    return { clock, state, pace };
}

/** Eight VMs of which each opens two connections to an endpoint that accepts 21. */
const fleet = {
    seed: 1,
    vmCount: 8,
    hostCount: 8,
    knownAt: 500,
    darkConnections: 16,
    darkMilliseconds: darkConnectionMilliseconds,
    burstOperations: 20,
    operationsPerSecond: 30,
};
const playedMilliseconds = 8_000;

function shareInTime(outcomes: readonly LoadOutcome[], fromMilliseconds: number, toMilliseconds: number): number {
    const selected = outcomes.filter(({ startedAt }) => startedAt >= fromMilliseconds && startedAt < toMilliseconds);
    return selected.filter(({ isInTime }) => isInTime).length / selected.length;
}

describe("createOpeningPace", () => {
    it("is not sparing at an ordinary start, nor after a refusal later", async () => {
        const { clock, pace } = createPace();
        assert.equal(pace.isSparing(), false);
        await clock.advance(darkConnectionMilliseconds);
        assert.ok(pace.recordRefusal() >= 0.5 * connectionLimitPauseMilliseconds);
        assert.equal(pace.isSparing(), false);
    });

    it("is sparing after a refusal soon after its start, and pauses longer after each one", async () => {
        const { clock, pace } = createPace();
        const pauses = [1, 2, 3, 4, 5, 6].map(() => pace.recordRefusal());
        assert.ok(pauses[3]! > pauses[0]!);
        assert.ok(Math.max(...pauses) <= 1.5 * connectionLimitPauseMilliseconds);
        assert.equal(pace.isLimitLasting(), true);
        assert.equal(pace.isSparing(), true);
        pace.recordOpened();
        assert.equal(pace.isLimitLasting(), false);
        await clock.advance(darkConnectionMilliseconds);
        assert.equal(pace.isSparing(), false);
    });

    it("is sparing for as long as dark connections count when it does not learn of the other VMs in time", async () => {
        const { clock, state, pace } = createPace(false);
        await clock.advance(returnNoticeMilliseconds);
        state.isHolding = true;
        assert.equal(pace.isSparing(), true);
        await clock.advance(darkConnectionMilliseconds);
        assert.equal(pace.isSparing(), false);
    });

    it("keeps the connections of a VM that stands alone, but not of one whose endpoint was once full", async () => {
        const { clock, pace } = createPace(false);
        await clock.advance(darkConnectionMilliseconds);
        assert.equal(pace.isSparing(), false);
        pace.recordRefusal();
        await clock.advance(2 * darkConnectionMilliseconds);
        assert.equal(pace.isSparing(), true);
    });

    it("serves the callers of eight VMs that lost their power together", async () => {
        const { endpoints, play } = createReturningFleet(fleet);
        const outcomes = await play(playedMilliseconds);
        assert.ok(shareInTime(outcomes, 0, 2_000) >= 0.9, `${shareInTime(outcomes, 0, 2_000)} in the first 2 s`);
        assert.ok(shareInTime(outcomes, 1_000, 2_000) >= 0.98);
        assert.equal(shareInTime(outcomes, 6_000, playedMilliseconds), 1);
        assert.ok(endpoints.countRefused() <= 50, `${endpoints.countRefused()} connections over the limit`);
    });

    it("serves the callers of 40 VMs that lost their power together, eight of which are hosts", async () => {
        const { endpoints, play } = createReturningFleet({
            ...fleet,
            vmCount: 40,
            knownAt: 1_000,
            burstOperations: 8,
            operationsPerSecond: 6,
        });
        const outcomes = await play(playedMilliseconds);
        assert.ok(shareInTime(outcomes, 0, 2_000) >= 0.6, `${shareInTime(outcomes, 0, 2_000)} in the first 2 s`);
        assert.ok(shareInTime(outcomes, 1_000, 2_000) >= 0.95);
        assert.ok(shareInTime(outcomes, 6_000, playedMilliseconds) >= 0.99);
        assert.ok(endpoints.countRefused() <= 500, `${endpoints.countRefused()} connections over the limit`);
    });

    it("changes nothing for a VM that restarts alone", async () => {
        const { endpoints, play } = createReturningFleet({ ...fleet, vmCount: 1, hostCount: 1, knownAt: 200 });
        assert.equal(shareInTime(await play(playedMilliseconds), 0, playedMilliseconds), 1);
        assert.equal(endpoints.countRefused(), 0);
    });
});
