import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createVmIdentity } from "../../testing/createVmIdentity/index.js";
import { createHolderVerification } from "./index.js";

describe("createHolderVerification", () => {
    for (const isInContactWithAll of [false, true]) {
        it(`is not certain after the VM was suspended, in contact with all VMs before: ${isInContactWithAll}`, async () => {
            const time = { now: 0, wall: 0 };
            const self = createVmIdentity("vm-1");
            const holder = { ...self, token: 2 };
            const verification = createHolderVerification({
                clock: {
                    now: () => time.now,
                    wallTime: () => time.wall,
                    sleep: async () => {},
                    startTimer: () => () => {},
                },
                records: { read: async () => ({ content: self, era: 0, revision: holder.token }) },
                self,
                vms: { isHolderInContactWithAll: () => isInContactWithAll, lastContactAt: () => undefined },
                view: { hostVms: () => [] },
                peerOf: () => assert.fail("no other VM is known"),
                contact: { record: () => {} },
                heldToken: () => holder.token,
                applyHolder: () => {},
                onRecordMissing: () => {},
                log: () => {},
            });
            assert.equal(await verification.verify(), holder.token);
            assert.ok(verification.isCertain());
            time.now += 50;
            time.wall += 60_000;
            assert.equal(verification.isCertain(), false);
        });
    }
});
