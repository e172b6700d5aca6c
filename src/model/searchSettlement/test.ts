import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { SettlementRules } from "../types/SettlementRules.js";
import { searchSettlement } from "./index.js";

const rules: SettlementRules = {
    waitsForOrders: true,
    cancelsNoUnknownEnd: true,
    requiresHighestTerm: true,
    requiresAllAnswers: true,
    requiresNewTerm: true,
    comparesTermOfCommit: true,
};

describe("searchSettlement", () => {
    it("finds no acknowledged write that a superseded endpoint committed", context => {
        const { states, violation } = searchSettlement(rules);
        assert.equal(violation, undefined);
        assert.ok(states > 50_000, `${states} states`);
        context.diagnostic(`${states} states`);
    });

    for (const rule of Object.keys(rules) as (keyof SettlementRules)[]) {
        it(`finds one without the rule ${rule}`, () => {
            assert.notEqual(searchSettlement({ ...rules, [rule]: false }).violation, undefined);
        });
    }
});
