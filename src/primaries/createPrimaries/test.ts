import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createPopulatedDirectory } from "../../testing/createPopulatedDirectory/index.js";
import { primaryConstants } from "../constants.js";
import { createPrimaries } from "./index.js";

function createSite() {
    const clock = createManualClock();
    const directory = createPopulatedDirectory(clock, [
        createEndpointRecord({ id: "i-1", isPrimary: true, revision: 1 }),
        createEndpointRecord({ id: "i-2", revision: 2 }),
    ]);
    const primaries = createPrimaries(clock, directory, () => {});
    const register = (id: string, isPrimary: boolean, revision: number): void => {
        const item = createEndpointRecord({ id, isPrimary, revision });
        directory.applyEndpoints({ isSnapshot: false, changes: [{ name: id, era: 0, revision, item }] });
    };
    return { clock, directory, primaries, register };
}

describe("createPrimaries", () => {
    it("returns the registered primary, and none during a change of primary", async () => {
        const { clock, primaries } = createSite();
        assert.equal(primaries.primaryOf("orders")?.id, "i-1");
        primaries.beginChange("orders", 2);
        assert.equal(primaries.primaryOf("orders"), undefined);
        primaries.finishChange("orders", "i-2", 2);
        assert.equal(primaries.primaryOf("orders")?.id, "i-2");
        primaries.beginChange("orders", 3);
        await clock.advance(primaryConstants.changeExpiryMilliseconds);
        assert.equal(primaries.primaryOf("orders")?.id, "i-2");
    });

    it("ignores a superseded primary that registers again", () => {
        const { primaries, register } = createSite();
        primaries.finishChange("orders", "i-2", 2);
        register("i-1", true, 9);
        assert.equal(primaries.primaryOf("orders")?.id, "i-2");
        assert.equal(primaries.hasPrimaryConflict("orders"), false);
    });

    it("reports a primary conflict while two endpoints are registered as primary and none was announced", () => {
        const { primaries, register } = createSite();
        register("i-2", true, 9);
        assert.equal(primaries.hasPrimaryConflict("orders"), true);
    });

    it("returns an endpoint as the primary again once its disqualification has expired", async () => {
        const { clock, directory, primaries } = createSite();
        primaries.recordNotPrimary(directory.endpoint("i-1")!);
        assert.equal(primaries.primaryOf("orders"), undefined);
        await clock.advance(primaryConstants.disqualifiedMilliseconds + 1);
        assert.equal(primaries.primaryOf("orders")?.id, "i-1");
    });

    it("disqualifies a primary whose answer had a lower term than observed since, but not one that never answered", () => {
        const { directory, primaries, register } = createSite();
        primaries.recordPosition(directory.endpoint("i-1")!, { term: 1, entry: 5 });
        primaries.recordPosition(directory.endpoint("i-2")!, { term: 2, entry: 6 });
        assert.equal(primaries.primaryOf("orders"), undefined);
        register("i-2", true, 9);
        primaries.recordPosition(createEndpointRecord({ id: "i-3" }), { term: 3, entry: 7 });
        assert.equal(primaries.primaryOf("orders")?.id, "i-2");
    });

    // Stale reads: the answers of a former primary, which followed its successor, counted as those of a primary.
    it("takes no term in an answer that a replica could give for the term in which an endpoint leads", () => {
        const { directory, primaries } = createSite();
        const primary = directory.endpoint("i-1")!;
        primaries.recordPosition(primary, { term: 1, entry: 5 });
        primaries.recordPosition(primary, { term: 2, entry: 6 });
        assert.ok(primaries.isSuperseded(primary));
        primaries.recordPositionAsPrimary(primary, { term: 2, entry: 6 });
        assert.equal(primaries.isSuperseded(primary), false);
        primaries.recordPositionAsPrimary(primary, { term: 1, entry: 5 });
        assert.equal(primaries.isSuperseded(primary), false, "an answer that comes late");
    });

    it("counts a log as the newest branch that has an entry of the announced term, or none that its primary lacks", () => {
        const { directory, primaries } = createSite();
        const successor = directory.endpoint("i-2")!;
        const isOnNewestBranch = (term: number, entry: number) => primaries.isOnNewestBranch("orders", { term, entry });
        assert.ok(isOnNewestBranch(1, 9));
        primaries.finishChange("orders", "i-2", 2);
        assert.equal(isOnNewestBranch(1, 6), false, "nothing is known of the announced primary's log");
        primaries.recordPosition(successor, { term: 1, entry: 6 });
        assert.ok(isOnNewestBranch(1, 6));
        assert.equal(isOnNewestBranch(1, 7), false, "an entry that the announced primary lacks");
        primaries.recordPosition(successor, { term: 2, entry: 7 });
        primaries.recordPosition(successor, { term: 1, entry: 6 });
        assert.equal(isOnNewestBranch(1, 6), false, "the announced primary has committed in its term");
        assert.ok(isOnNewestBranch(2, 7));
    });

    it("counts any log when the announced primary has no record, and the newest term of a promotion not announced", () => {
        const { directory, primaries } = createSite();
        primaries.finishChange("orders", "i-9", 2);
        assert.ok(primaries.isOnNewestBranch("orders", { term: 1, entry: 7 }));
        primaries.recordPosition(directory.endpoint("i-2")!, { term: 3, entry: 7 });
        assert.equal(primaries.isOnNewestBranch("orders", { term: 2, entry: 9 }), false);
        assert.ok(primaries.isOnNewestBranch("orders", { term: 3, entry: 1 }));
    });
});
