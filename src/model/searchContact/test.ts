import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ContactRules } from "../types/ContactRules.js";
import type { ContactScope } from "../types/ContactScope.js";
import { searchContact } from "./index.js";

const completeList: ContactRules = { requiresCompleteList: true, boundsContact: false };
const boundedContact: ContactRules = { requiresCompleteList: false, boundsContact: true };
const inTime: ContactScope = { mayStartLater: false, mayTakeOverLate: false };
const scopes: readonly ContactScope[] = [
    inTime,
    { ...inTime, mayStartLater: true },
    { ...inTime, mayTakeOverLate: true },
    { mayStartLater: true, mayTakeOverLate: true },
];

describe("searchContact", () => {
    it("finds no superseded write with a complete list when each VM starts before and takes over in time", () => {
        const { states, violation } = searchContact(completeList, inTime);
        assert.equal(violation, undefined);
        assert.ok(states > 60, `${states} states`);
    });

    it("finds one when contact counts with any list and without a bound", () => {
        const { violation } = searchContact({ ...completeList, requiresCompleteList: false }, inTime);
        assert.notEqual(violation, undefined);
    });

    for (const scope of scopes.slice(1)) {
        it(`finds one although the list was complete, with ${JSON.stringify(scope)}`, () => {
            assert.notEqual(searchContact(completeList, scope).violation, undefined);
        });
    }

    for (const scope of scopes) {
        it(`finds none when contact counts for a bounded time, with ${JSON.stringify(scope)}`, context => {
            const { states, violation } = searchContact(boundedContact, scope);
            assert.equal(violation, undefined);
            assert.ok(states > 60, `${states} states`);
            context.diagnostic(`${states} states`);
        });
    }
});
