import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { directoryConstants } from "../constants.js";
import { createStoreFreshness } from "./index.js";

const { maximumReportedAgeMilliseconds } = directoryConstants;

describe("createStoreFreshness", () => {
    it("reports the age of the feed whose last answer is oldest", async () => {
        const clock = createManualClock();
        const freshness = createStoreFreshness(clock);
        assert.equal(freshness.ageMilliseconds(), maximumReportedAgeMilliseconds);
        freshness.recordAnswer("endpoints");
        await clock.advance(100);
        freshness.recordAnswer("routing tables");
        await clock.advance(50);
        assert.equal(freshness.ageMilliseconds(), 150);
    });

    it("applies the age that another VM sent, counted from the time of the request", async () => {
        const clock = createManualClock();
        const freshness = createStoreFreshness(clock);
        const requestedAt = clock.now();
        await clock.advance(40);
        freshness.applyAge(300, requestedAt);
        assert.equal(freshness.ageMilliseconds(), 340);
        freshness.applyAge(5_000, clock.now());
        assert.equal(freshness.ageMilliseconds(), 340);
        await clock.advance(2_000);
        assert.equal(freshness.ageMilliseconds(), 2_340);
    });
});
