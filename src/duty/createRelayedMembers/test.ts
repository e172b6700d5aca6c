import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createVmIdentity } from "../../testing/createVmIdentity/index.js";
import { dutyConstants } from "../constants.js";
import { createRelayedMembers } from "./index.js";

const token = 3;
const version = (revision: number) => ({ era: 1, revision });

function createMembers() {
    const clock = createManualClock();
    const members = createRelayedMembers(clock);
    members.recordContact(createVmIdentity("vm-1"), version(7));
    members.recordContact(createVmIdentity("vm-2"), version(8));
    return { clock, members };
}

describe("createRelayedMembers", () => {
    it("reports the list until the holder has confirmed it, and again when it has changed", () => {
        const { members } = createMembers();
        assert.equal(members.listUnreported(token)?.length, 2);
        assert.equal(members.listUnreported(token)?.length, 2);
        members.confirm(token);
        members.recordContact(createVmIdentity("vm-1"), version(7));
        assert.equal(members.listUnreported(token), undefined);
        members.recordContact(createVmIdentity("vm-1", { incarnation: "2" }), version(9));
        assert.equal(members.listUnreported(token)?.length, 2);
    });

    it("reports the list to a new holder", () => {
        const { members } = createMembers();
        members.listUnreported(token);
        members.confirm(token);
        assert.equal(members.listUnreported(token + 1)?.length, 2);
    });

    it("drops a member that is silent, and one that stops", async () => {
        const { clock, members } = createMembers();
        await clock.advance(dutyConstants.memberTimeoutMilliseconds);
        members.recordContact(createVmIdentity("vm-2"), version(8));
        await clock.advance(1);
        assert.deepEqual(members.listUnreported(token)?.map(({ name }) => name), ["vm-2"]);
        members.remove("vm-2");
        assert.deepEqual(members.listUnreported(token), []);
    });

    it("counts a silent member until it verifies no primary by itself any more, and its newest process only", async () => {
        const { clock, members } = createMembers();
        assert.deepEqual(members.findCommonVersion(), version(7));
        await clock.advance(dutyConstants.longestUnattendedMilliseconds);
        assert.deepEqual(members.findCommonVersion(), version(7));
        members.recordContact(createVmIdentity("vm-2", { incarnation: "2" }), version(9));
        await clock.advance(dutyConstants.forgottenMilliseconds - dutyConstants.longestUnattendedMilliseconds);
        assert.deepEqual(members.findCommonVersion(), version(9));
    });
});
