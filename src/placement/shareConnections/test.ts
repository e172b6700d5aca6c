import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { shareConnections } from "./index.js";

describe("shareConnections", () => {
    it("leaves connections free for VMs that restart before the endpoint has closed their old ones", () => {
        assert.equal(shareConnections(43, 8), 3);
        assert.equal(shareConnections(234, 8), 6);
    });

    it("allows two connections where the limit suffices, and always at least one", () => {
        assert.equal(shareConnections(21, 8), 2);
        assert.equal(shareConnections(21, 11), 1);
        assert.equal(shareConnections(65, 86), 1);
    });
});
