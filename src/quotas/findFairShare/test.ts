import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { findFairShare } from "./index.js";

describe("findFairShare", () => {
    it("shares the whole amount, or all that is asked for", () => {
        fc.assert(fc.property(
            fc.integer({ min: 0, max: 1_000 }),
            fc.array(fc.integer({ min: 0, max: 500 }), { minLength: 1 }),
            (amount, demands) => {
                const shares = demands.map(own => findFairShare(amount, demands, own));
                const asked = demands.reduce((sum, demand) => sum + demand, 0);
                const shared = shares.reduce((sum, share) => sum + share, 0);
                assert.ok(Math.abs(shared - Math.min(amount, asked)) < 1e-6);
                assert.ok(shares.every((share, index) => share <= demands[index]!));
            },
        ));
    });
});
