import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createVmIdentity } from "../../testing/createVmIdentity/index.js";
import { dutyConstants } from "../constants.js";
import { createReportedVersions } from "./index.js";

const version = (revision: number) => ({ era: 1, revision });

describe("createReportedVersions", () => {
    it("returns the oldest version, that of the holder and of the members of relays included", () => {
        const reports = createReportedVersions(createManualClock());
        assert.equal(reports.findCommonVersion(), undefined);
        assert.deepEqual(reports.findCommonVersion(version(9)), version(9));
        reports.record(createVmIdentity("vm-1"), version(7), undefined);
        reports.record(createVmIdentity("vm-2"), version(8), version(6));
        assert.deepEqual(reports.findCommonVersion(version(9)), version(6));
        assert.deepEqual(reports.findCommonVersion(version(5)), version(5));
    });

    it("counts the newest process of a VM, but the members of each process until they verify no primary any more", async () => {
        const clock = createManualClock();
        const reports = createReportedVersions(clock);
        reports.record(createVmIdentity("vm-1", { incarnation: "1" }), version(5), version(6));
        reports.record(createVmIdentity("vm-1", { incarnation: "2" }), version(9), undefined);
        assert.deepEqual(reports.findCommonVersion(), version(6));
        await clock.advance(dutyConstants.longestUnattendedMilliseconds);
        assert.deepEqual(reports.findCommonVersion(), version(6));
        await clock.advance(dutyConstants.forgottenMilliseconds);
        assert.equal(reports.findCommonVersion(), undefined);
    });

    it("is unknown to a new holder while VMs that it has not heard of may verify primaries by themselves", async () => {
        const clock = createManualClock();
        const reports = createReportedVersions(clock);
        reports.startHolding();
        await clock.advance(dutyConstants.longestUnattendedMilliseconds);
        assert.equal(reports.findCommonVersion(version(9)), undefined);
        await clock.advance(dutyConstants.forgottenMilliseconds - dutyConstants.longestUnattendedMilliseconds);
        assert.deepEqual(reports.findCommonVersion(version(9)), version(9));
    });
});
