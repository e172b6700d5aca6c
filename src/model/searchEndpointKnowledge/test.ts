import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { KnowledgeRules } from "../types/KnowledgeRules.js";
import { searchEndpointKnowledge } from "./index.js";

const rules: KnowledgeRules = {
    asksEndpointItself: true,
    promotesKnownEndpoints: true,
    needsTermInLog: true,
    stopsWithoutContact: true,
    remembersSilentVms: true,
    waitsAsNewHolder: true,
    countsLostEndpoints: true,
};

describe("searchEndpointKnowledge", () => {
    it("finds no stale read by a VM without a lease, whatever its directory lacks", context => {
        const { states, violation } = searchEndpointKnowledge(rules);
        assert.equal(violation, undefined);
        assert.ok(states > 500, `${states} states`);
        context.diagnostic(`${states} states`);
    });

    for (const rule of Object.keys(rules) as (keyof KnowledgeRules)[]) {
        it(`finds one without the rule ${rule}`, context => {
            const { states, violation } = searchEndpointKnowledge({ ...rules, [rule]: false });
            assert.notEqual(violation, undefined);
            context.diagnostic(`${states} states: ${violation?.join("; ")}`);
        });
    }
});
