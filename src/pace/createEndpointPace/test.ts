import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { paceConstants } from "../constants.js";
import { StatementEnd } from "../types/StatementEnd.js";
import { createEndpointPace } from "./index.js";

const share = 0.5;
const { Answered, Refused, Silent, Failed } = StatementEnd;

function createSite() {
    const clock = createManualClock();
    const pace = createEndpointPace(clock, () => share);

    async function run(end: StatementEnd, milliseconds = 20, times = 1): Promise<void> {
        for (let index = 0; index < times; index += 1) {
            pace.begin();
            await clock.advance(milliseconds);
            pace.end(end, milliseconds);
        }
    }

    return { clock, pace, run };
}

describe("createEndpointPace", () => {
    it("has no limit without evidence, nor after single refusals or failures", async () => {
        const { pace, run } = createSite();
        await run(Answered, 20, 5);
        await run(Refused, 1);
        await run(Answered, 20, 3);
        await run(Failed, 20, 5);
        assert.equal(pace.isLimited(), false);
        assert.equal(pace.millisecondsUntilFree(), 0);
    });

    it("begins with its share after a start, spreads statements over time, and grows with good answers", async () => {
        const { pace, run } = createSite();
        pace.restart();
        assert.equal(pace.limit(), share);
        pace.begin();
        assert.ok(pace.millisecondsUntilFree() > 0);
        pace.end(Answered, 20);
        assert.ok(pace.limit() > share);
        await run(Answered, 20, 10);
        assert.ok(pace.limit() >= 1);
    });

    it("falls at once when most statements are refused, pauses, and is lifted after a calm while", async () => {
        const { clock, pace, run } = createSite();
        await run(Refused, 1, 3);
        assert.equal(pace.limit(), 1);
        assert.ok(pace.millisecondsUntilFree() > 0);
        await clock.advance(paceConstants.liftMilliseconds);
        await run(Answered, 20, paceConstants.liftAnswers);
        assert.equal(pace.isLimited(), false);
    });

    it("falls below one statement with silence, and to its share while the endpoint is slow", async () => {
        const { clock, pace, run } = createSite();
        await run(Answered, 20, 20);
        await run(Silent, 600);
        assert.ok(pace.limit() < 1, `${pace.limit()}`);
        await run(Answered, 200, 20);
        await clock.advance(paceConstants.liftMilliseconds);
        await run(Answered, 200);
        assert.ok(pace.limit() <= paceConstants.slowShare * share, `${pace.limit()}`);
    });
});
