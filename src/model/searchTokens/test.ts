import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TokenSource } from "../types/TokenSource.js";
import { searchTokens } from "./index.js";

describe("searchTokens", () => {
    it("finds no token given twice when it is the version of the record, however late a write takes effect", context => {
        const { states, violation } = searchTokens(TokenSource.Version);
        assert.equal(violation, undefined);
        assert.ok(states > 1_000, `${states} states`);
        context.diagnostic(`${states} states`);
    });

    for (const source of [TokenSource.RecordNumber, TokenSource.Revision]) {
        it(`finds one after a restore when the token is the record's ${source}`, () => {
            assert.ok(searchTokens(source).violation?.includes("store is restored"));
        });
    }
});
