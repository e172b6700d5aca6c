import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { dutyConstants } from "../constants.js";
import { createVmList } from "./index.js";

const address = { host: "127.0.0.1", port: 1, availabilityZone: "a" };

describe("createVmList", () => {
    it("reports no contact with all VMs while an unlisted one that may be alive does not answer", async () => {
        const clock = createManualClock();
        const vms = createVmList(clock);
        vms.recordContact({ name: "vm-1", address, incarnation: "1" }, true);
        vms.recordContact({ name: "vm-2", address, incarnation: "1" }, true);
        assert.ok(vms.isHolderInContactWithAll(900));
        await clock.advance(dutyConstants.contactTimeoutMilliseconds + 1);
        vms.recordContact({ name: "vm-1", address, incarnation: "1" }, true);
        assert.deepEqual(vms.list().map(({ name }) => name), ["vm-1"]);
        assert.equal(vms.isHolderInContactWithAll(900), false);
    });

    it("changes its version when a VM changes, not with each contact", () => {
        const vms = createVmList(createManualClock());
        vms.recordContact({ name: "vm-1", address, incarnation: "1" }, true);
        vms.list();
        const version = vms.version();
        vms.recordContact({ name: "vm-1", address, incarnation: "1" }, true);
        vms.list();
        assert.equal(vms.version(), version);
        vms.recordContact({ name: "vm-1", address, incarnation: "2" }, true);
        assert.notEqual(vms.version(), version);
    });
});
