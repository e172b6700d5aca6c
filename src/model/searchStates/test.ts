import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { searchStates } from "./index.js";

/** A counter from 0 to 4 that steps by 1 or 2. */
const counter = {
    initialState: { count: 0 },
    *listSteps({ count }: { readonly count: number; }) {
        for (const step of [1, 2].filter(size => count + size <= 4)) {
            yield { name: `add ${step}`, state: { count: count + step } };
        }
    },
};

describe("searchStates", () => {
    it("visits each state once", () => {
        assert.deepEqual(searchStates({ ...counter, isViolation: () => false }), { states: 5 });
    });

    it("returns the shortest run to a violation", () => {
        const { violation } = searchStates({ ...counter, isViolation: ({ count }) => count === 4 });
        assert.deepEqual(violation, ["add 2", "add 2"]);
    });

    it("checks the initial state", () => {
        assert.deepEqual(searchStates({ ...counter, isViolation: () => true }).violation, []);
    });
});
