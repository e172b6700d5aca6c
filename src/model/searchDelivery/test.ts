import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { DeliveryRules } from "../types/DeliveryRules.js";
import { searchDelivery } from "./index.js";

const rules: DeliveryRules = { reportsAnswersOnly: true, countsRelaysOwnAnswers: true };

describe("searchDelivery", () => {
    it("finds no acknowledged write that the old primary committed after the change", context => {
        const { states, violation } = searchDelivery(rules);
        assert.equal(violation, undefined);
        assert.ok(states > 30_000, `${states} states`);
        context.diagnostic(`${states} states`);
    });

    for (const rule of Object.keys(rules) as (keyof DeliveryRules)[]) {
        it(`finds one without the rule ${rule}`, () => {
            assert.notEqual(searchDelivery({ ...rules, [rule]: false }).violation, undefined);
        });
    }
});
