import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createPositionEvidence } from "./index.js";

describe("createPositionEvidence", () => {
    it("returns the oldest position that is recent enough", () => {
        const evidence = createPositionEvidence();
        evidence.record("orders", 100, { term: 3, entry: 10 });
        evidence.record("orders", 200, { term: 3, entry: 20 });
        assert.deepEqual(evidence.coveringPosition("orders", 100), { term: 3, entry: 10 });
        assert.deepEqual(evidence.coveringPosition("orders", 101), { term: 3, entry: 20 });
        assert.equal(evidence.coveringPosition("orders", 201), undefined);
        assert.equal(evidence.coveringPosition("stock", 0), undefined);
    });

    it("drops positions from a superseded primary", () => {
        const evidence = createPositionEvidence();
        evidence.record("orders", 100, { term: 3, entry: 10 });
        evidence.record("orders", 200, { term: 4, entry: 8 });
        evidence.record("orders", 300, { term: 3, entry: 12 });
        assert.deepEqual(evidence.coveringPosition("orders", 0), { term: 4, entry: 8 });
        assert.equal(evidence.coveringPosition("orders", 250), undefined);
    });
});
