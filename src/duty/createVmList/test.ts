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
        vms.note({ name: "vm-1", address, incarnation: "1" }, true);
        vms.note({ name: "vm-2", address, incarnation: "1" }, true);
        assert.ok(vms.areAllAttending(900));
        await clock.advance(dutyConstants.forgetMilliseconds + 1);
        vms.note({ name: "vm-1", address, incarnation: "1" }, true);
        assert.deepEqual(vms.list().map(({ name }) => name), ["vm-1"]);
        assert.equal(vms.areAllAttending(900), false);
    });

    it("changes its version when a VM changes, not with each contact", () => {
        const vms = createVmList(createManualClock());
        vms.note({ name: "vm-1", address, incarnation: "1" }, true);
        vms.list();
        const version = vms.version();
        vms.note({ name: "vm-1", address, incarnation: "1" }, true);
        vms.list();
        assert.equal(vms.version(), version);
        vms.note({ name: "vm-1", address, incarnation: "2" }, true);
        assert.notEqual(vms.version(), version);
    });
});
