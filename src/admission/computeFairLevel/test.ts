import assert from "node:assert/strict";
import { test } from "node:test";
import { computeFairLevel } from "./index.js";

test("callers that ask for less get all of it, and the others share the rest", () => {
    assert.equal(computeFairLevel([8, 1, 1], 4), 2);
    assert.equal(computeFairLevel([6, 6, 6], 6), 2);
    assert.equal(computeFairLevel([1, 2], 4), Infinity);
    assert.equal(computeFairLevel([], 4), Infinity);
});
