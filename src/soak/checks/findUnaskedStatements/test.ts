import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSoakHistory } from "../../../testing/createSoakHistory/index.js";
import { findUnaskedStatements } from "./index.js";

describe("findUnaskedStatements", () => {
    it("finds a statement that no caller sent", () => {
        const unrequested = [...findUnaskedStatements(createSoakHistory({}, { ids: [] }))];
        assert.deepEqual(unrequested, ["statement r1 at i-1"]);
    });
});
