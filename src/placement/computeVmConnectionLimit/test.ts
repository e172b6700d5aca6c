import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeVmConnectionLimit } from "./index.js";

describe("computeVmConnectionLimit", () => {
    it("leaves connections free for VMs that restart before the endpoint has closed their old ones", () => {
        assert.equal(computeVmConnectionLimit(43, 8), 3);
        assert.equal(computeVmConnectionLimit(234, 8), 6);
    });

    it("allows two connections where the limit suffices, and always at least one", () => {
        assert.equal(computeVmConnectionLimit(21, 8), 2);
        assert.equal(computeVmConnectionLimit(21, 11), 1);
        assert.equal(computeVmConnectionLimit(65, 86), 1);
    });

    it("allows more connections where each serves one workspace alone, and leaves some free", () => {
        assert.equal(computeVmConnectionLimit(82, 12, true), 6);
        assert.equal(computeVmConnectionLimit(234, 8, true), 26);
        assert.equal(computeVmConnectionLimit(5, 12, true), 1);
    });
});
