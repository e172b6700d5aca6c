import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TermFault } from "../types/TermFault.js";
import type { TermRules } from "../types/TermRules.js";
import type { TermScope } from "../types/TermScope.js";
import { searchTerms } from "./index.js";

const rules: TermRules = {
    announcesReportedTerm: true,
    stepsDownAboveReportedTerm: true,
    comparesTermUnderLease: true,
    distrustsOlderEnd: true,
    comparesTermsOfQueried: true,
};
const oneChange: TermScope = { changes: 1, mayLoseRecord: true, firstTerm: 2 };
const oneChangeWithRecords: TermScope = { ...oneChange, mayLoseRecord: false };
const twoChangesWithRecords: TermScope = { ...oneChangeWithRecords, changes: 2 };

describe("searchTerms", () => {
    for (const fault of Object.values(TermFault)) {
        it(`finds no write that is ${fault}`, context => {
            const { states, violation } = searchTerms(rules, oneChange, fault);
            assert.equal(violation, undefined);
            assert.ok(states > 40_000, `${states} states`);
            context.diagnostic(`${states} states`);
        });
    }

    for (const rule of ["announcesReportedTerm", "comparesTermUnderLease", "comparesTermsOfQueried"] as const) {
        it(`finds a superseded write without the rule ${rule}`, () => {
            const { violation } = searchTerms({ ...rules, [rule]: false }, oneChange, TermFault.Superseded);
            assert.notEqual(violation, undefined);
        });
    }

    it("finds a lost write without the rule stepsDownAboveReportedTerm", () => {
        const faulty = { ...rules, stepsDownAboveReportedTerm: false };
        assert.notEqual(searchTerms(faulty, oneChange, TermFault.Lost).violation, undefined);
    });

    it("needs the rule distrustsOlderEnd where an end is announced with too low a term", () => {
        const lowTerm = { ...rules, announcesReportedTerm: false };
        const guarded = searchTerms(lowTerm, oneChangeWithRecords, TermFault.Superseded);
        assert.equal(guarded.violation, undefined);
        assert.ok(guarded.states > 20_000, `${guarded.states} states`);
        const unguarded = { ...lowTerm, distrustsOlderEnd: false };
        assert.notEqual(searchTerms(unguarded, oneChangeWithRecords, TermFault.Superseded).violation, undefined);
    });

    it("finds a superseded write in a second change without the rule comparesTermsOfQueried", () => {
        const faulty = { ...rules, comparesTermsOfQueried: false };
        const { violation } = searchTerms(faulty, twoChangesWithRecords, TermFault.Superseded);
        assert.notEqual(violation, undefined);
        assert.ok(violation?.includes("change to 2 begins"), violation?.join("; "));
    });
});
