import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EndpointCommand } from "../../duty/types/EndpointCommand.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { orderStepDown } from "./index.js";

describe("orderStepDown", () => {
    it("sends the term to the endpoint", async () => {
        const commands: EndpointCommand[] = [];
        const answer = { rows: [], state: SessionState.Idle };
        const returned = await orderStepDown(
            {
                runFromAnyVm: async command => {
                    commands.push(command);
                    return [answer];
                },
            },
            "i-7",
            4,
        );
        assert.equal(returned, answer);
        assert.equal(commands[0]?.endpointId, "i-7");
        assert.deepEqual(commands[0]?.statements, [{ kind: OutgoingKind.StepDown, term: 4 }]);
    });
});
