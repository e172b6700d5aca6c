import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createVmIdentity } from "../../testing/createVmIdentity/index.js";
import { promotionConstants } from "../constants.js";
import { createDeparture } from "./index.js";

const otherVms: readonly VmIdentity[] = [createVmIdentity("vm-2")];
const graceMilliseconds = 6_000;

function createSite() {
    const clock = createManualClock();
    const state = {
        token: 7 as number | undefined,
        isGranting: true,
        isChanging: false,
        hasUnknownEnds: false,
        otherVms,
    };
    const events: string[] = [];
    const departure = createDeparture({
        clock,
        duty: {
            heldToken: () => state.token,
            isGranting: () => state.isGranting,
            otherVms: () => state.otherVms,
            leave: () => void events.push("duty left"),
            handOver: async hasKnownEnds => {
                events.push(`handed over, known ends: ${hasKnownEnds}`);
                state.token = undefined;
            },
        },
        coordinator: {
            leave: () => void events.push("coordinator left"),
            isChanging: () => state.isChanging,
            hasUnknownEnds: () => state.hasUnknownEnds,
        },
        graceMilliseconds,
        log: () => {},
    });
    return { clock, state, events, departure };
}

const left = ["coordinator left", "duty left"];

describe("createDeparture", () => {
    it("hands over the duty once the change that has begun is finished", async () => {
        const { clock, state, events, departure } = createSite();
        state.isChanging = true;
        departure.begin();
        await clock.advance(2_000);
        assert.deepEqual(events, left);
        state.isChanging = false;
        await clock.advance(promotionConstants.departurePollingMilliseconds);
        assert.deepEqual(events, [...left, "handed over, known ends: true"]);
        await departure.stop();
    });

    it("reports that the end of an order is unknown", async () => {
        const { clock, state, events, departure } = createSite();
        state.hasUnknownEnds = true;
        departure.begin();
        await clock.advance(0);
        assert.deepEqual(events, [...left, "handed over, known ends: false"]);
        await departure.stop();
    });

    it("hands over again when another VM hands the duty to it, once the primaries are confirmed or time is short", async () => {
        const { clock, state, events, departure } = createSite();
        state.token = undefined;
        departure.begin();
        await clock.advance(500);
        assert.deepEqual(events, left);
        state.isGranting = false;
        state.token = 8;
        await clock.advance(500);
        assert.deepEqual(events, left);
        await clock.advance(promotionConstants.confirmationMilliseconds);
        assert.equal(events.length, left.length + 1);
        await departure.stop();
    });

    it("is finished when the duty is handed over, or when the time for it has passed", async () => {
        const { clock, state, departure } = createSite();
        state.isChanging = true;
        departure.begin();
        let isFinished = false;
        void departure.finish().then(() => {
            isFinished = true;
        });
        await clock.advance(promotionConstants.departureGraceShare * graceMilliseconds - 100);
        assert.equal(isFinished, false);
        await clock.advance(200);
        assert.ok(isFinished);
        await departure.stop();
    });

    it("waits for no hand-over when there is no other VM", async () => {
        const { state, departure } = createSite();
        state.otherVms = [];
        state.isGranting = false;
        departure.begin();
        await departure.finish();
        assert.equal(state.token, 7);
        await departure.stop();
    });
});
