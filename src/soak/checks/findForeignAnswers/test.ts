import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSoakHistory } from "../../../testing/createSoakHistory/index.js";
import { findForeignAnswers } from "./index.js";

describe("findForeignAnswers", () => {
    it("finds the signature of another statement, and of an endpoint that did not run it", () => {
        const other = createSoakHistory({}, { signatures: { r1: "i-1.w1" } });
        const elsewhere = createSoakHistory({}, { signatures: { r1: "i-2.r1" } });
        assert.equal([...findForeignAnswers(other)].length, 1);
        assert.equal([...findForeignAnswers(elsewhere)].length, 1);
    });
});
