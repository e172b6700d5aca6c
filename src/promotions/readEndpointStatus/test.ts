import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EndpointCommand } from "../../duty/types/EndpointCommand.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { readEndpointStatus } from "./index.js";

describe("readEndpointStatus", () => {
    it("sends one statement and returns the status", async () => {
        const commands: EndpointCommand[] = [];
        const replicaStatus = { isPrimary: true, term: 3, received: { term: 3, entry: 9 } } as never;
        const status = await readEndpointStatus({
            runFromAnyVm: async command => {
                commands.push(command);
                return [{ rows: [], state: SessionState.Idle, replicaStatus }];
            },
        }, "i-7");
        assert.equal(status, replicaStatus);
        assert.deepEqual(commands.map(({ statements }) => statements), [[{ kind: OutgoingKind.ReadStatus }]]);
    });

    it("fails when no VM can reach the endpoint", async () => {
        const control = { runFromAnyVm: () => Promise.reject(new Error("out of reach")) };
        await assert.rejects(readEndpointStatus(control, "i-7"), /out of reach/);
    });
});
