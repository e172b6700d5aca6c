import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createHolderContact } from "./index.js";

describe("createHolderContact", () => {
    it("returns the age of the newest contact, with that of a relay and with a suspension of this VM", async () => {
        const clock = createManualClock();
        const contact = createHolderContact();
        contact.record(undefined, startElapsedTimer(clock));
        assert.equal(contact.ageMilliseconds(), undefined);
        contact.record(300, startElapsedTimer(clock));
        await clock.advance(200);
        assert.equal(contact.ageMilliseconds(), 500);
        contact.record(900, startElapsedTimer(clock));
        assert.equal(contact.ageMilliseconds(), 500, "the contact of the relay is older");
        clock.suspend(5_000);
        assert.equal(contact.ageMilliseconds(), 5_500);
    });
});
