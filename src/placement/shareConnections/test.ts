import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { shareConnections } from "./index.js";

describe("shareConnections", () => {
    it("leaves room for VMs that come back before their old connections are dropped", () => {
        assert.equal(shareConnections(43, 8), 3);
        assert.equal(shareConnections(234, 8), 6);
    });

    it("gives two where that fits, and never none", () => {
        assert.equal(shareConnections(21, 8), 2);
        assert.equal(shareConnections(21, 11), 1);
        assert.equal(shareConnections(65, 86), 1);
    });
});
