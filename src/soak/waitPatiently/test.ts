import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { soakConstants } from "../constants.js";
import { waitPatiently } from "./index.js";

describe("waitPatiently", () => {
    it("gives the answer that comes in time", async () => {
        assert.equal(await waitPatiently(Promise.resolve("data"), createManualClock()), "data");
    });

    it("gives up an answer that does not come", async () => {
        const clock = createManualClock();
        const waited = waitPatiently(new Promise(() => {}), clock);
        await clock.advance(soakConstants.patienceMilliseconds);
        assert.equal(await waited, undefined);
    });
});
