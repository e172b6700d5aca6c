import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { paceConstants } from "../constants.js";
import { StatementEnd } from "../types/StatementEnd.js";
import { createEndpointHealth } from "./index.js";

const { initialHoldMilliseconds, returningProbes, holdDecayMilliseconds } = paceConstants;

function createSite() {
    const clock = createManualClock();
    const health = createEndpointHealth(clock);

    function fail(): boolean {
        health.record(StatementEnd.Failed);
        health.record(StatementEnd.Failed);
        return health.trySetAside(0);
    }

    async function probe(end: StatementEnd): Promise<boolean> {
        await clock.advance(paceConstants.probeIntervalMilliseconds);
        assert.equal(health.isProbeDue(), true);
        health.beginProbe();
        assert.equal(health.isProbeDue(), false, "one probe at a time");
        return health.endProbe(end);
    }

    async function comeBack(): Promise<void> {
        await clock.advance(health.holdMilliseconds());
        for (let index = 1; index < returningProbes; index += 1) {
            assert.equal(await probe(StatementEnd.Answered), false);
        }
        assert.equal(await probe(StatementEnd.Answered), true);
    }

    return { clock, health, fail, probe, comeBack };
}

describe("createEndpointHealth", () => {
    it("waits twice as long each time that it is set aside again, and less after a while in service", async () => {
        const { clock, health, fail, comeBack } = createSite();
        for (const hold of [1, 2, 4].map(factor => factor * initialHoldMilliseconds)) {
            assert.equal(fail(), true);
            assert.equal(health.holdMilliseconds(), hold);
            assert.equal(health.isProbeDue(), false);
            await comeBack();
            assert.equal(health.isSetAside(), false);
        }
        await clock.advance(2 * holdDecayMilliseconds);
        fail();
        assert.equal(health.holdMilliseconds(), 2 * initialHoldMilliseconds);
    });

    it("needs all probes in a row to be good", async () => {
        const { clock, health, fail, probe, comeBack } = createSite();
        fail();
        await clock.advance(initialHoldMilliseconds);
        await probe(StatementEnd.Answered);
        await probe(StatementEnd.Silent);
        assert.equal(health.isProbeDue(), false);
        await comeBack();
    });

    it("is not set aside for one failure, for refusals, or for failures that others have as well", () => {
        const { health } = createSite();
        health.record(StatementEnd.Failed);
        health.record(StatementEnd.Refused);
        health.record(StatementEnd.Refused);
        assert.equal(health.trySetAside(0), false);
        health.record(StatementEnd.Failed);
        assert.equal(health.trySetAside(0.5), false);
        assert.equal(health.trySetAside(0), true);
    });

    it("returns with a new start, unless it was set aside several times of late", async () => {
        const { health, fail, comeBack } = createSite();
        fail();
        health.restart();
        assert.equal(health.isSetAside(), false);
        fail();
        await comeBack();
        fail();
        health.restart();
        assert.equal(health.isSetAside(), true);
    });
});
