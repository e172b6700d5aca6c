import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { createPreparedNames } from "./index.js";

const shapeCharacters = 1_000_000;

describe("createPreparedNames", () => {
    it("forgets names when their statements are long, and gives no name twice", () => {
        const { nameOf } = createPreparedNames();
        const statementOf = (letter: string) => ({ mode: AccessMode.Read, shape: letter.repeat(shapeCharacters) });
        const first = nameOf(statementOf("a"));
        assert.equal(nameOf(statementOf("a")), first);
        const names = ["b", "c", "d", "e", "a"].map(letter => nameOf(statementOf(letter)));
        assert.equal(new Set([first, ...names]).size, 6);
    });
});
