import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createPrimaries } from "../../primaries/createPrimaries/index.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createPopulatedDirectory } from "../../testing/createPopulatedDirectory/index.js";
import { createEndpointProbe } from "./index.js";

describe("createEndpointProbe", () => {
    it("does not take the term in a replica's refusal for one in which it leads", async () => {
        const clock = createManualClock();
        const endpoint = createEndpointRecord({ id: "i-1", isPrimary: true });
        const directory = createPopulatedDirectory(clock, [endpoint, createEndpointRecord({ id: "i-2" })]);
        const primaries = createPrimaries(clock, directory, () => {});
        primaries.recordPosition(endpoint, { term: 1, entry: 3 });
        const refusal: StatementAnswer = {
            rows: [],
            state: SessionState.Idle,
            position: { term: 2, entry: 4 },
            failure: { code: FailureCode.ReadOnly, description: "" },
        };
        const run = async (): Promise<readonly StatementAnswer[]> => [refusal];
        const probe = createEndpointProbe({
            clock,
            directory,
            primaries,
            control: { run, runFromAnyVm: run },
            placement: { lastContactAt: () => -Infinity },
            log: () => {},
        });
        assert.ok(await probe(endpoint.id));
        assert.ok(primaries.isSuperseded(endpoint));
    });
});
