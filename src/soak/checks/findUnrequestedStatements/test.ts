import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSoakHistory } from "../../../testing/createSoakHistory/index.js";
import { findUnrequestedStatements } from "./index.js";

describe("findUnrequestedStatements", () => {
    it("finds a statement that no caller sent", () => {
        const unrequested = [...findUnrequestedStatements(createSoakHistory({}, { ids: [] }))];
        assert.deepEqual(unrequested, ["statement r1 at i-1"]);
    });
});
