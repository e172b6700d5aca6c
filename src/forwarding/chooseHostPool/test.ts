import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { forwardingConstants } from "../constants.js";
import { chooseHostPool } from "./index.js";

const address = { availabilityZone: "a" };
const createVms = (count: number, capacity: number, prefix = "vm") =>
    Array.from({ length: count }, (_, index) => ({ name: `${prefix}-${index}`, address, capacity }));
const sumCapacity = (vms: readonly { readonly capacity: number; }[]) =>
    vms.reduce((sum, { capacity }) => sum + capacity, 0);

describe("chooseHostPool", () => {
    it("chooses every VM of a small zone", () => {
        const vms = createVms(forwardingConstants.maximumSmallZoneVms, 1);
        assert.deepEqual(chooseHostPool(vms), { vms, isWholeZone: true });
    });

    it("chooses the largest VMs of a large zone", () => {
        const large = createVms(3, 1.35, "large");
        const { vms: pool, isWholeZone } = chooseHostPool([...createVms(30, 0.324), ...large]);
        assert.equal(isWholeZone, false);
        assert.deepEqual(pool.map(({ name }) => name).sort(), large.map(({ name }) => name));
    });

    it("holds a share of the zone's capacity also where all VMs are equal", () => {
        const vms = createVms(40, 0.5);
        const pool = chooseHostPool(vms).vms;
        assert.ok(sumCapacity(pool) >= forwardingConstants.poolCapacityShare * sumCapacity(vms));
        assert.ok(pool.length <= Math.ceil(forwardingConstants.poolCapacityShare * vms.length));
    });

    it("replaces a lost VM and keeps the others", () => {
        const vms = createVms(40, 0.5);
        const pool = chooseHostPool(vms).vms;
        const lost = pool[0]!;
        const next = chooseHostPool(vms.filter(vm => vm !== lost)).vms;
        assert.ok(pool.filter(vm => vm !== lost).every(vm => next.includes(vm)));
    });

    it("chooses the same VMs whatever their order", () => {
        const vms = [...createVms(3, 1.35, "large"), ...createVms(20, 0.324)];
        assert.deepEqual(chooseHostPool([...vms].reverse()), chooseHostPool(vms));
    });
});
