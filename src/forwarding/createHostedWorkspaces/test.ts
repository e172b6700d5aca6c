import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createVmIdentity } from "../../testing/createVmIdentity/index.js";
import { forwardingConstants } from "../constants.js";
import { createHostedWorkspaces } from "./index.js";

test("lists the workspaces that this VM serves, the largest first, anew after a moment", async () => {
    const clock = createManualClock();
    const other = createVmIdentity("vm-2");
    const elsewhere = new Set(["theatres"]);
    const workspaces = [["museums", 5], ["schools", 50], ["theatres", 500]].map(([name, operationsPerSecond]) => ({
        name: String(name),
        keyDigests: [],
        priority: 0,
        quota: { operationsPerSecond: Number(operationsPerSecond), burstOperations: 1 },
    }));
    const list = createHostedWorkspaces({
        clock,
        directory: {
            routingTable: () => ({ version: 3, routes: [], groups: [], workspaces, idleTransactionMilliseconds: 1 }),
        },
        hosts: { hostOf: (_group, workspace) => elsewhere.has(workspace!) ? other : undefined },
    });
    assert.deepEqual(list("orders"), ["schools", "museums"]);
    elsewhere.delete("theatres");
    assert.deepEqual(list("orders"), ["schools", "museums"]);
    await clock.advance(forwardingConstants.hostedListMilliseconds);
    assert.deepEqual(list("orders"), ["theatres", "schools", "museums"]);
});
