import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSoakHistory } from "../../../testing/createSoakHistory/index.js";
import { UnitOutcome } from "../../types/UnitOutcome.js";
import { findRefusedWritesInLog } from "./index.js";

describe("findRefusedWritesInLog", () => {
    it("finds a write that took effect although it was refused", () => {
        const { units: [written, read] } = createSoakHistory();
        const units = [{ ...written!, outcome: UnitOutcome.NotKept }, read!];
        assert.deepEqual([...findRefusedWritesInLog(createSoakHistory({ units }))], ["write w1 of session s1"]);
    });
});
