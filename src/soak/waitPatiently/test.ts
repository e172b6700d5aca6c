import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { soakConstants } from "../constants.js";
import { waitPatiently } from "./index.js";

describe("waitPatiently", () => {
    it("returns an answer that arrives in time", async () => {
        assert.equal(await waitPatiently(Promise.resolve("data"), createManualClock()), "data");
    });

    it("returns undefined if no answer arrives before the timeout", async () => {
        const clock = createManualClock();
        const waited = waitPatiently(new Promise(() => {}), clock);
        await clock.advance(soakConstants.patienceMilliseconds);
        assert.equal(await waited, undefined);
    });
});
