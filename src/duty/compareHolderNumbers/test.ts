import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { compareHolderNumbers } from "./index.js";

describe("compareHolderNumbers", () => {
    it("orders by the token, then by the count", () => {
        assert.ok(compareHolderNumbers({ token: 3, count: 1 }, { token: 2, count: 90 }) > 0);
        assert.ok(compareHolderNumbers({ token: 2, count: 1 }, { token: 2, count: 2 }) < 0);
        assert.equal(compareHolderNumbers({ token: 2, count: 2 }, { token: 2, count: 2 }), 0);
    });
});
