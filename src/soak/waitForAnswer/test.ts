import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { soakConstants } from "../constants.js";
import { waitForAnswer } from "./index.js";

describe("waitForAnswer", () => {
    it("returns an answer that arrives in time", async () => {
        assert.equal(await waitForAnswer(Promise.resolve("data"), createManualClock()), "data");
    });

    it("returns undefined if no answer arrives before the timeout", async () => {
        const clock = createManualClock();
        const waited = waitForAnswer(new Promise(() => {}), clock);
        await clock.advance(soakConstants.answerTimeoutMilliseconds);
        assert.equal(await waited, undefined);
    });
});
