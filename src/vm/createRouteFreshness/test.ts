import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { vmConstants } from "../constants.js";
import { createRouteFreshness } from "./index.js";

describe("createRouteFreshness", () => {
    it("counts the routes as the newest once another VM has answered, and then for good", () => {
        let isInContact = false;
        const hasNewestRoutes = createRouteFreshness(createManualClock(), {
            heldToken: () => undefined,
            isInContact: () => isInContact,
        });
        assert.equal(hasNewestRoutes(), false);
        isInContact = true;
        assert.ok(hasNewestRoutes());
        isInContact = false;
        assert.ok(hasNewestRoutes());
    });

    it("lets the holder, which asks nobody, wait until the others have called it", async () => {
        const clock = createManualClock();
        const hasNewestRoutes = createRouteFreshness(clock, { heldToken: () => 4, isInContact: () => true });
        await clock.advance(vmConstants.routeExchangeMilliseconds - 1);
        assert.equal(hasNewestRoutes(), false);
        await clock.advance(1);
        assert.ok(hasNewestRoutes());
    });
});
