import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSoakHistory } from "../../../testing/createSoakHistory/index.js";
import { findLateAnswers } from "./index.js";

const late = { slowestMilliseconds: 2_600, endedAt: 3_700 };

describe("findLateAnswers", () => {
    it("finds an answer that arrived late, and one that never arrived", () => {
        assert.equal([...findLateAnswers(createSoakHistory({}, late))].length, 1);
        const never = { slowestMilliseconds: Number.POSITIVE_INFINITY };
        assert.equal([...findLateAnswers(createSoakHistory({}, never))].length, 1);
    });

    it("ignores callers of a VM that had a fault at that time", () => {
        const at = (vm: number) => createSoakHistory({ lateSpans: [{ vm, from: 0, to: 1_200 }] }, late);
        assert.equal([...findLateAnswers(at(0))].length, 0);
        assert.equal([...findLateAnswers(at(1))].length, 1);
    });
});
