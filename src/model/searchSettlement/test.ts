import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { SettlementRules } from "../types/SettlementRules.js";
import type { SettlementScope } from "../types/SettlementScope.js";
import { searchSettlement } from "./index.js";

const neededRules = {
    waitsForOrders: true,
    cancelsNoUnknownEnd: true,
    requiresHighestTerm: true,
    requiresAllAnswers: true,
    requiresNewTerm: true,
    comparesTermOfCommit: true,
};
const rules: SettlementRules = { ...neededRules, settlesByPromotion: false, acceptsAnsweredOrder: false };
const withAllRecords: SettlementScope = { changes: 2, mayLoseRecord: false };
const withLostRecord: SettlementScope = { changes: 2, mayLoseRecord: true };

describe("searchSettlement", () => {
    it("finds no acknowledged write that a superseded endpoint committed", context => {
        const { states, violation } = searchSettlement(rules, { ...withAllRecords, changes: 3 });
        assert.equal(violation, undefined);
        assert.ok(states > 100_000, `${states} states`);
        context.diagnostic(`${states} states`);
    });

    for (const rule of Object.keys(neededRules) as (keyof SettlementRules)[]) {
        it(`finds one without the rule ${rule}`, () => {
            assert.notEqual(searchSettlement({ ...rules, [rule]: false }, withAllRecords).violation, undefined);
        });
    }

    it("finds one when the holder settles by answers and has lost the record of the promoted endpoint", () => {
        assert.notEqual(searchSettlement(rules, withLostRecord).violation, undefined);
    });

    it("finds none with a lost record when an unknown end is always followed by another promotion", context => {
        const settling = { ...rules, settlesByPromotion: true };
        const { states, violation } = searchSettlement(settling, { ...withLostRecord, changes: 3 });
        assert.equal(violation, undefined);
        assert.ok(states > 150_000, `${states} states`);
        context.diagnostic(`${states} states`);
    });

    it("finds none with a lost record when an unchanged term is accepted after an answered order", context => {
        const accepting = { ...rules, settlesByPromotion: true, acceptsAnsweredOrder: true };
        const { states, violation } = searchSettlement(accepting, withLostRecord);
        assert.equal(violation, undefined);
        assert.ok(states > 14_000, `${states} states`);
        context.diagnostic(`${states} states`);
    });

    it("settles by promotion without any need for the endpoints' answers", () => {
        const unasking = { ...rules, requiresAllAnswers: false, requiresHighestTerm: false, settlesByPromotion: true };
        const { states, violation } = searchSettlement(unasking, withLostRecord);
        assert.equal(violation, undefined);
        assert.ok(states > 14_000, `${states} states`);
    });
});
