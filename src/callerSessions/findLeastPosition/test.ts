import assert from "node:assert/strict";
import { before, describe, it } from "node:test";
import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { Route } from "../../directory/types/Route.js";
import { createPositionEvidence } from "../../primaries/createPositionEvidence/index.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createSessionContext } from "../createSessionContext/index.js";
import type { SessionContext } from "../types/SessionContext.js";
import { findLeastPosition } from "./index.js";

const route: Route = {
    database: "shop",
    group: "orders",
    guarantee: ReadGuarantee.ReadYourWrites,
    statementTimeoutMilliseconds: 1_000,
    targetLatencyMilliseconds: 1_000,
    priority: 1,
    maximumStalenessMilliseconds: 500,
};

function createSession(commit?: LogPosition): SessionContext {
    const commits = new Map(commit === undefined ? [] : [["orders", commit] as const]);
    return { ...createSessionContext("shop"), commits };
}

describe("findLeastPosition", () => {
    const clock = createManualClock();
    const evidence = createPositionEvidence();
    const services = { clock, evidence };

    before(async () => {
        await clock.advance(1_000);
        evidence.record("orders", startElapsedTimer(clock), { term: 3, entry: 10 });
        await clock.advance(400);
        evidence.record("orders", startElapsedTimer(clock), { term: 3, entry: 20 });
        await clock.advance(700);
    });

    it("returns the oldest position that is recent enough", () => {
        assert.deepEqual(findLeastPosition(route, createSession(), 1_450, services), { term: 3, entry: 10 });
        assert.deepEqual(findLeastPosition(route, createSession(), 1_600, services), { term: 3, entry: 20 });
        assert.equal(findLeastPosition(route, createSession(), 2_000, services), undefined);
    });

    it("covers the session's own commits where the route guarantees them", () => {
        const session = createSession({ term: 3, entry: 15 });
        assert.deepEqual(findLeastPosition(route, session, 1_450, services), { term: 3, entry: 15 });
        const bounded = { ...route, guarantee: ReadGuarantee.BoundedStaleness };
        assert.deepEqual(findLeastPosition(bounded, session, 1_450, services), { term: 3, entry: 10 });
    });

    it("does not require commits that a promotion may have dropped", () => {
        const session = createSession({ term: 2, entry: 900 });
        assert.deepEqual(findLeastPosition(route, session, 1_450, services), { term: 3, entry: 10 });
    });
});
