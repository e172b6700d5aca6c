import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createVmIdentity } from "../../testing/createVmIdentity/index.js";
import { dutyConstants } from "../constants.js";
import { createGrantedLeases } from "./index.js";

const { leaseMilliseconds, verifiedMilliseconds } = dutyConstants;
const formerMilliseconds = verifiedMilliseconds + leaseMilliseconds;
const [host, other] = ["vm-1", "vm-2"].map(name => createVmIdentity(name)) as [
    ReturnType<typeof createVmIdentity>,
    ReturnType<typeof createVmIdentity>,
];

describe("createGrantedLeases", () => {
    it("lists a VM as long as the lease that it was granted may last", async () => {
        const clock = createManualClock();
        const leases = createGrantedLeases(clock);
        leases.recordContact(host, true);
        await clock.advance(leaseMilliseconds - 1);
        assert.deepEqual(leases.listPossibleVms([host, other]), [host]);
        assert.equal(leases.endOfLeases([host]), leaseMilliseconds);
        await clock.advance(1);
        assert.deepEqual(leases.listPossibleVms([host, other]), []);
    });

    it("lists all VMs while the previous holder's leases may last", async () => {
        const clock = createManualClock();
        const leases = createGrantedLeases(clock);
        leases.startHolding(true);
        assert.deepEqual(leases.listPossibleVms([host, other]), [host, other]);
        assert.equal(leases.endOfLeases([other]), formerMilliseconds);
        assert.ok(leases.endOfLeases([]) < clock.now());
        await clock.advance(formerMilliseconds);
        assert.deepEqual(leases.listPossibleVms([host, other]), []);
    });

    it("counts the former lease of a VM that calls the new holder from its first call only", async () => {
        const clock = createManualClock();
        const leases = createGrantedLeases(clock);
        leases.startHolding(true);
        await clock.advance(100);
        leases.recordContact(other, false);
        await clock.advance(200);
        leases.recordContact(other, false);
        assert.equal(leases.endOfLeases([other]), 100 + leaseMilliseconds);
    });

    it("waits for all former leases when the new holder does not know all VMs", () => {
        const leases = createGrantedLeases(createManualClock());
        leases.startHolding(false);
        assert.equal(leases.endOfLeases([]), formerMilliseconds);
    });
});
