import assert from "node:assert/strict";
import { test } from "node:test";
import { createLoadControl } from "./index.js";

test("controls the load where workspaces compete, where few VMs are hosts, and while no other VM is known", () => {
    const table = { version: 1, routes: [], groups: [], idleTransactionMilliseconds: 1 };
    const workspaces = [{ name: "museums", keyDigests: [], priority: 0 }];
    const isControlled = (hostCount: number, otherCount: number, hasWorkspaces = false) =>
        createLoadControl({
            directory: { routingTable: () => hasWorkspaces ? { ...table, workspaces } : table },
            hosts: { hostCountOf: () => hostCount },
            otherVms: () => Array.from({ length: otherCount }),
        })("orders");
    assert.equal(isControlled(8, 7), false);
    assert.equal(isControlled(8, 7, true), true);
    assert.equal(isControlled(12, 82), true);
    assert.equal(isControlled(1, 0), true);
});
