import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSoakHistory } from "../../testing/createSoakHistory/index.js";
import { checkGuarantees } from "./index.js";

describe("checkGuarantees", () => {
    it("finds no violation in a history that keeps all guarantees", () => {
        assert.deepEqual(checkGuarantees(createSoakHistory()), []);
    });

    it("names the guarantee that was violated", () => {
        const violations = checkGuarantees(createSoakHistory({ log: [] }));
        assert.deepEqual(violations.map(({ promise }) => promise), ["no acknowledged write is lost"]);
    });
});
