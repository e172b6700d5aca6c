import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { promotionConstants } from "../../promotions/constants.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createVmIdentity } from "../../testing/createVmIdentity/index.js";
import { dutyConstants } from "../constants.js";
import { Predecessor } from "../types/Predecessor.js";
import { createGrantedLeases } from "./index.js";

const { leaseMilliseconds, verifiedMilliseconds, formerOrdersMilliseconds } = dutyConstants;
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

    it("counts an order of the previous holder as pending for longer than it may take", () => {
        const { maximumVerificationMilliseconds, orderTimeoutMilliseconds, longestPromotionMilliseconds } =
            promotionConstants;
        const orderMilliseconds = orderTimeoutMilliseconds + longestPromotionMilliseconds;
        assert.ok(formerOrdersMilliseconds >= maximumVerificationMilliseconds + orderMilliseconds);
        assert.ok(formerOrdersMilliseconds >= verifiedMilliseconds + leaseMilliseconds);
    });

    it("waits for an earlier process of the same VM from its own start", async () => {
        const clock = createManualClock();
        const leases = createGrantedLeases(clock);
        await clock.advance(leaseMilliseconds);
        leases.startHolding(Predecessor.OwnFormerProcess);
        leases.startGranting();
        assert.equal(leases.endOfLeases([]), formerOrdersMilliseconds);
        await clock.advance(formerOrdersMilliseconds - leaseMilliseconds - 1);
        assert.equal(leases.isGranting(), false);
        await clock.advance(1);
        assert.ok(leases.isGranting());
    });

    it("grants no lease as a new holder before the primaries are known and the previous holder cannot act", async () => {
        const clock = createManualClock();
        const leases = createGrantedLeases(clock);
        assert.ok(leases.isGranting());
        leases.startHolding(Predecessor.Unknown);
        leases.startGranting();
        assert.equal(leases.isGranting(), false);
        await clock.advance(formerOrdersMilliseconds - 1);
        assert.equal(leases.isGranting(), false);
        await clock.advance(1);
        assert.ok(leases.isGranting());
        leases.startHolding(Predecessor.Unknown);
        await clock.advance(formerOrdersMilliseconds);
        assert.equal(leases.isGranting(), false);
    });

    it("lists all VMs while the previous holder's leases may last", async () => {
        const clock = createManualClock();
        const leases = createGrantedLeases(clock);
        leases.startHolding(Predecessor.Unknown);
        assert.deepEqual(leases.listPossibleVms([host, other]), [host, other]);
        assert.equal(leases.endOfLeases([other]), formerOrdersMilliseconds);
        await clock.advance(verifiedMilliseconds + leaseMilliseconds - 1);
        assert.deepEqual(leases.listPossibleVms([host, other]), [host, other]);
        await clock.advance(1);
        assert.deepEqual(leases.listPossibleVms([host, other]), []);
    });

    it("waits for all former leases, because the new holder may not know all VMs that have one", () => {
        const leases = createGrantedLeases(createManualClock());
        leases.startHolding(Predecessor.Unknown);
        leases.recordContact(other, false);
        assert.equal(leases.endOfLeases([]), formerOrdersMilliseconds);
        assert.equal(leases.endOfLeases([other]), formerOrdersMilliseconds);
    });

    it("waits for the leases of a holder that handed over, but for no order of it", async () => {
        const clock = createManualClock();
        const leases = createGrantedLeases(clock);
        leases.startHolding(Predecessor.HandedOver);
        assert.equal(leases.isGranting(), false);
        leases.startGranting();
        assert.ok(leases.isGranting());
        assert.equal(leases.endOfLeases([]), leaseMilliseconds);
    });
});
