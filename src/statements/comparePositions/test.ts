import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { comparePositions } from "./index.js";

describe("comparePositions", () => {
    it("orders by term first, then by entry", () => {
        assert.ok(comparePositions({ term: 2, entry: 900 }, { term: 3, entry: 1 }) < 0);
        assert.ok(comparePositions({ term: 3, entry: 2 }, { term: 3, entry: 1 }) > 0);
        assert.equal(comparePositions({ term: 3, entry: 2 }, { term: 3, entry: 2 }), 0);
    });
});
