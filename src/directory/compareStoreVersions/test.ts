import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { compareStoreVersions } from "./index.js";

describe("compareStoreVersions", () => {
    it("orders the revisions of one era", () => {
        assert.ok(compareStoreVersions({ era: 1, revision: 10 }, { era: 1, revision: 9 }) > 0);
        assert.equal(compareStoreVersions({ era: 1, revision: 9 }, { era: 1, revision: 9 }), 0);
    });

    it("orders a low revision of a later era after a high one of an earlier era", () => {
        assert.ok(compareStoreVersions({ era: 2, revision: 3 }, { era: 1, revision: 900 }) > 0);
        assert.ok(compareStoreVersions({ era: 1, revision: 900 }, { era: 2, revision: 3 }) < 0);
    });
});
