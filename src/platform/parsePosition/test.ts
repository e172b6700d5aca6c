import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { formatPosition } from "../formatPosition/index.js";
import { parsePosition } from "./index.js";

describe("parsePosition", () => {
    it("returns undefined for a term or number too large to be counted exactly", () => {
        for (const text of ["9007199254740992.1", "3.9007199254740992", `${"9".repeat(400)}.1`]) {
            assert.equal(parsePosition(text), undefined);
        }
    });

    it("parses what formatPosition returns", () => {
        fastCheck.assert(
            fastCheck.property(fastCheck.maxSafeNat(), fastCheck.maxSafeNat(), (term, entry) => {
                assert.deepEqual(parsePosition(formatPosition({ term, entry })), { term, entry });
            }),
            { seed: 7, numRuns: 2_000 },
        );
    });

    it("returns whole numbers or undefined for any text", () => {
        const text = fastCheck.oneof(fastCheck.string(), fastCheck.stringMatching(/^\d{1,400}\.\d{1,20}$/));
        fastCheck.assert(
            fastCheck.property(text, input => {
                const position = parsePosition(input);
                assert.ok(
                    position === undefined
                        || Number.isSafeInteger(position.term) && Number.isSafeInteger(position.entry),
                );
            }),
            { seed: 7, numRuns: 5_000 },
        );
    });
});
