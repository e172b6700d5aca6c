import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { LogTermRules } from "../types/LogTermRules.js";
import { searchLogTerms } from "./index.js";

const rules: LogTermRules = {
    waitsForNewestBranch: true,
    comparesBranches: true,
    countsAnnouncedTerm: true,
    learnsAnnouncement: true,
    endsWait: true,
};

describe("searchLogTerms", () => {
    it("finds no branch of the log left for an earlier one, and no group without a primary", context => {
        const { states, violation } = searchLogTerms(rules);
        assert.equal(violation, undefined);
        assert.ok(states > 1_000, `${states} states`);
        context.diagnostic(`${states} states`);
    });

    for (const rule of Object.keys(rules) as (keyof LogTermRules)[]) {
        it(`finds one without the rule ${rule}`, context => {
            const { states, violation } = searchLogTerms({ ...rules, [rule]: false });
            assert.notEqual(violation, undefined);
            context.diagnostic(`${states} states: ${violation?.join("; ")}`);
        });
    }
});
