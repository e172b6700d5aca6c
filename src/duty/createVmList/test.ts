import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createVmIdentity } from "../../testing/createVmIdentity/index.js";
import { dutyConstants } from "../constants.js";
import { createVmList } from "./index.js";

describe("createVmList", () => {
    it("reports no contact with all VMs while an unlisted one that may be alive does not answer", async () => {
        const clock = createManualClock();
        const vms = createVmList(clock);
        vms.recordContact(createVmIdentity("vm-1", { incarnation: "1" }), true);
        vms.recordContact(createVmIdentity("vm-2", { incarnation: "1" }), true);
        assert.ok(vms.isHolderInContactWithAll(900));
        await clock.advance(dutyConstants.contactTimeoutMilliseconds + 1);
        vms.recordContact(createVmIdentity("vm-1", { incarnation: "1" }), true);
        assert.deepEqual(vms.list().map(({ name }) => name), ["vm-1"]);
        assert.equal(vms.isHolderInContactWithAll(900), false);
    });

    it("changes its version when a VM changes, not with each contact", () => {
        const vms = createVmList(createManualClock());
        vms.recordContact(createVmIdentity("vm-1", { incarnation: "1" }), true);
        vms.list();
        const version = vms.version();
        vms.recordContact(createVmIdentity("vm-1", { incarnation: "1" }), true);
        vms.list();
        assert.equal(vms.version(), version);
        vms.recordContact(createVmIdentity("vm-1", { incarnation: "2" }), true);
        assert.notEqual(vms.version(), version);
    });

    it("returns the same array as long as no VM changes", async () => {
        const clock = createManualClock();
        const vms = createVmList(clock);
        vms.recordContact(createVmIdentity("vm-1"), true);
        const before = vms.list();
        await clock.advance(1_000);
        vms.recordContact(createVmIdentity("vm-1"), true);
        assert.equal(vms.list(), before);
        vms.recordContact(createVmIdentity("vm-2"), true);
        assert.notEqual(vms.list(), before);
    });

    it("creates updates with the changes since a version, and the whole list for an older numbering", () => {
        const vms = createVmList(createManualClock());
        vms.startToken(1);
        ["vm-1", "vm-2"].forEach(name => vms.recordContact(createVmIdentity(name), true));
        const version = vms.version();
        assert.equal(vms.createUpdate(version), undefined);
        vms.remove("vm-1");
        vms.recordContact(createVmIdentity("vm-3"), true);
        const { isSnapshot, vms: changed, removedNames } = vms.createUpdate(version)!;
        assert.deepEqual([isSnapshot, changed.map(({ name }) => name), removedNames], [false, ["vm-3"], ["vm-1"]]);
        vms.startToken(2);
        vms.recordContact(createVmIdentity("vm-4"), true);
        const update = vms.createUpdate(version)!;
        assert.deepEqual([update.isSnapshot, update.vms.length], [true, 3]);
    });

    it("creates updates for one zone", () => {
        const vms = createVmList(createManualClock());
        vms.startToken(1);
        vms.recordContact(createVmIdentity("vm-1"), true);
        vms.recordContact(createVmIdentity("vm-2", { availabilityZone: "b" }), true);
        assert.deepEqual(vms.createUpdate({ token: 0, count: 0 }, "b")!.vms.map(({ name }) => name), ["vm-2"]);
    });

    it("applies updates like the list that they come from, and refuses older ones", () => {
        const clock = createManualClock();
        const [original, copy] = [createVmList(clock), createVmList(clock)];
        original.startToken(1);
        ["vm-1", "vm-2"].forEach(name => original.recordContact(createVmIdentity(name), true));
        const first = original.createUpdate(copy.version())!;
        copy.applyUpdate(first);
        original.remove("vm-2");
        assert.ok(copy.applyUpdate(original.createUpdate(copy.version())!));
        assert.deepEqual(copy.list(), original.list());
        assert.equal(copy.version(), original.version());
        assert.equal(copy.applyUpdate(first), false);
        assert.deepEqual(copy.list(), original.list());
    });

    it("keeps VMs that a relay reports, and ignores its report on a process that has restarted", async () => {
        const clock = createManualClock();
        const vms = createVmList(clock);
        vms.recordContact(createVmIdentity("relay"), true);
        vms.recordMembers("relay", [createVmIdentity("vm-1"), createVmIdentity("vm-2")]);
        await clock.advance(dutyConstants.contactTimeoutMilliseconds - 1);
        vms.recordContact(createVmIdentity("relay"), true);
        vms.recordContact(createVmIdentity("vm-2", { incarnation: "2" }), true);
        vms.recordMembers("relay", undefined);
        await clock.advance(2);
        assert.deepEqual(vms.list().map(({ name, incarnation }) => `${name} ${incarnation}`).sort(), [
            "relay 1",
            "vm-1 1",
            "vm-2 2",
        ]);
        assert.ok(vms.isHolderInContactWithAll(900));
        vms.recordMembers("relay", []);
        await clock.advance(900);
        vms.recordContact(createVmIdentity("relay"), true);
        vms.recordContact(createVmIdentity("vm-2", { incarnation: "2" }), true);
        vms.recordMembers("relay", undefined);
        assert.equal(vms.isHolderInContactWithAll(900), false);
    });
});
