import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { promotionConstants } from "../../promotions/constants.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createVmIdentity } from "../../testing/createVmIdentity/index.js";
import { dutyConstants } from "../constants.js";
import { createGrantedLeases } from "./index.js";

const { leaseMilliseconds, verifiedMilliseconds, formerHolderMilliseconds: formerMilliseconds } = dutyConstants;
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

    it("waits longer for a previous holder than its last lease and its last order to promote may take", () => {
        const { maximumVerificationMilliseconds, orderTimeoutMilliseconds } = promotionConstants;
        assert.ok(formerMilliseconds > verifiedMilliseconds + leaseMilliseconds);
        assert.ok(formerMilliseconds > maximumVerificationMilliseconds + orderTimeoutMilliseconds);
    });

    it("grants no lease as a new holder before the primaries are known and the previous holder cannot act", async () => {
        const clock = createManualClock();
        const leases = createGrantedLeases(clock);
        assert.ok(leases.isGranting());
        leases.startHolding();
        leases.startGranting();
        assert.equal(leases.isGranting(), false);
        await clock.advance(formerMilliseconds);
        assert.ok(leases.isGranting());
        leases.startHolding();
        await clock.advance(formerMilliseconds);
        assert.equal(leases.isGranting(), false);
    });

    it("lists all VMs while the previous holder's leases may last", async () => {
        const clock = createManualClock();
        const leases = createGrantedLeases(clock);
        leases.startHolding();
        assert.deepEqual(leases.listPossibleVms([host, other]), [host, other]);
        assert.equal(leases.endOfLeases([other]), formerMilliseconds);
        await clock.advance(formerMilliseconds);
        assert.deepEqual(leases.listPossibleVms([host, other]), []);
    });

    it("waits for all former leases, because the new holder may not know all VMs that have one", () => {
        const leases = createGrantedLeases(createManualClock());
        leases.startHolding();
        leases.recordContact(other, false);
        assert.equal(leases.endOfLeases([]), formerMilliseconds);
        assert.equal(leases.endOfLeases([other]), formerMilliseconds);
    });
});
