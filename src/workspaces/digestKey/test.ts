import assert from "node:assert/strict";
import { test } from "node:test";
import { digestKey } from "./index.js";

test("gives equal keys one digest, different keys different ones, and never shows the key", () => {
    assert.equal(digestKey("v3nax7"), digestKey("v3nax7"));
    assert.notEqual(digestKey("v3nax7"), digestKey("v3nax8"));
    assert.ok(!digestKey("v3nax7").includes("v3nax7"));
});
