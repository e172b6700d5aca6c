import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { SuccessionRules } from "../types/SuccessionRules.js";
import { searchSuccession } from "./index.js";

const rules: SuccessionRules = {
    waitsForFormerOrders: true,
    queriesBeforeVouching: true,
    changesIndefinite: true,
    countsFormerLeases: true,
    handsOverBetweenChanges: true,
    endsBeforeHandOver: true,
};

describe("searchSuccession", () => {
    it("finds no acknowledged write that a superseded endpoint committed", context => {
        const { states, violation } = searchSuccession(rules);
        assert.equal(violation, undefined);
        assert.ok(states > 1_500, `${states} states`);
        context.diagnostic(`${states} states`);
    });

    for (const rule of Object.keys(rules) as (keyof SuccessionRules)[]) {
        it(`finds one without the rule ${rule}`, () => {
            assert.notEqual(searchSuccession({ ...rules, [rule]: false }).violation, undefined);
        });
    }
});
