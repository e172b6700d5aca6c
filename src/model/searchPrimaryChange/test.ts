import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ChangeRules } from "../types/ChangeRules.js";
import { searchPrimaryChange } from "./index.js";

const rules: ChangeRules = {
    waitsForLeases: true,
    dropsPrimaryOnAnnouncement: true,
    rechecksAfterAnswer: true,
    verifiesWithoutLease: true,
    verifiesAfterAnswer: true,
    countsFormerLeases: true,
    keepsAnnouncementUntilEnd: true,
    cancelsOnlyUnordered: true,
};

describe("searchPrimaryChange", () => {
    it("finds no acknowledged write that the old primary committed after the change", () => {
        const { states, violation } = searchPrimaryChange(rules);
        assert.equal(violation, undefined);
        assert.ok(states > 100, `${states} states`);
    });

    for (const rule of Object.keys(rules) as (keyof ChangeRules)[]) {
        it(`finds one without the rule ${rule}`, () => {
            assert.notEqual(searchPrimaryChange({ ...rules, [rule]: false }).violation, undefined);
        });
    }
});
