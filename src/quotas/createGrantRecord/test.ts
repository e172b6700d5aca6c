import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createMemoryRecords } from "../../testing/createMemoryRecords/index.js";
import { quotaConstants } from "../constants.js";
import { createGrantRecord } from "./index.js";

function createSite() {
    const clock = createManualClock();
    const records = createMemoryRecords();
    const writes: string[] = [];
    const counted = {
        ...records,
        read: (name: string) => records.read(name),
        replace: (...args: Parameters<typeof records.replace>) => {
            writes.push("replace");
            return records.replace(...args);
        },
    };
    const create = (granter: string) => createGrantRecord({ clock, records: counted, granter, log: () => {} });

    /** Has a process take over; returns the VMs of its predecessor, undefined while they are not known. */
    async function takeOver(record: ReturnType<typeof create>) {
        let former: readonly string[] | undefined;
        record.takeOver(vms => {
            former = vms;
        });
        await clock.advance(0);
        return () => former;
    }

    return { clock, records, writes, create, takeOver };
}

describe("createGrantRecord", () => {
    it("admits a VM only after it was recorded, and writes nothing while the VMs stay", async () => {
        const { clock, writes, create, takeOver } = createSite();
        const record = create("vm-1");
        await takeOver(record);
        assert.equal(record.admits("vm-2"), false);
        await clock.advance(0);
        assert.equal(record.admits("vm-2"), true);
        const count = writes.length;
        for (let renewal = 0; renewal < 20; renewal += 1) {
            record.admits("vm-2");
            await clock.advance(300);
        }
        assert.equal(writes.length, count);
    });

    it("admits VMs at the first holder, which has no predecessor to take over from", async () => {
        const { clock, create } = createSite();
        const record = create("vm-1");
        for (let renewal = 0; renewal < 2; renewal += 1) {
            assert.equal(record.admits("vm-2"), false);
            await clock.advance(0);
        }
        assert.equal(record.admits("vm-2"), true);
    });

    it("tells a new holder which VMs may hold grants, and admits none at its predecessor any more", async () => {
        const { clock, create, takeOver } = createSite();
        const first = create("vm-1");
        await takeOver(first);
        first.admits("vm-2");
        await clock.advance(0);
        const second = create("vm-3");
        const former = await takeOver(second);
        assert.deepEqual(former(), ["vm-2"]);
        first.admits("vm-4");
        await clock.advance(quotaConstants.grantRecordRetryMilliseconds);
        assert.equal(first.admits("vm-4"), false);
        assert.equal(first.admits("vm-2"), false);
        assert.equal(second.admits("vm-2"), true);
    });

    it("tells nothing and admits nobody while the store does not answer", async () => {
        const { clock, records, create, takeOver } = createSite();
        const record = create("vm-1");
        records.isAvailable = false;
        const former = await takeOver(record);
        await clock.advance(1_000);
        assert.equal(former(), undefined);
        assert.equal(record.admits("vm-2"), false);
        records.isAvailable = true;
        await clock.advance(quotaConstants.grantRecordRetryMilliseconds);
        record.admits("vm-2");
        await clock.advance(0);
        assert.equal(record.admits("vm-2"), true);
    });

    it("does not rely on a record that may come from a copy of an earlier era of the store", async () => {
        const { clock, records, create, takeOver } = createSite();
        await records.create(quotaConstants.grantRecordName, { granter: "vm-9", era: 3, vms: ["vm-2"] });
        const former = await takeOver(create("vm-1"));
        await clock.advance(0);
        assert.equal(former(), undefined);
    });

    it("keeps the VMs of its predecessor recorded for the next holder, although they have not asked yet", async () => {
        const { clock, records, create, takeOver } = createSite();
        await records.create(quotaConstants.grantRecordName, { granter: "vm-9", era: 0, vms: ["vm-2"] });
        const record = create("vm-1");
        await takeOver(record);
        record.admits("vm-3");
        await clock.advance(0);
        const former = await takeOver(create("vm-4"));
        assert.deepEqual(former(), ["vm-2", "vm-3"]);
    });

    it("leaves out a VM that has not asked for long when another one is recorded", async () => {
        const { clock, records, create, takeOver } = createSite();
        const record = create("vm-1");
        await takeOver(record);
        record.admits("vm-2");
        await clock.advance(quotaConstants.recordedVmMilliseconds + 1);
        record.admits("vm-3");
        await clock.advance(0);
        const content = (await records.read(quotaConstants.grantRecordName))!.content as { readonly vms: string[]; };
        assert.deepEqual(content.vms, ["vm-3"]);
    });
});
