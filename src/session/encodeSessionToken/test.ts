import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { isTypedError } from "../../errors/isTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { advanceSessionToken } from "../advanceSessionToken/index.js";
import { decodeSessionToken } from "../decodeSessionToken/index.js";
import type { SessionToken } from "../types/SessionToken.js";
import { encodeSessionToken } from "./index.js";

const seed = 20261204;
const positionArbitrary = fastCheck.record({
    term: fastCheck.nat(),
    position: fastCheck.nat(),
    recordedAtMilliseconds: fastCheck.nat(),
    heldBy: fastCheck.option(fastCheck.string(), { nil: undefined }),
}, { noNullPrototype: true });
const tokenArbitrary = fastCheck.record({
    caller: fastCheck.string(),
    positions: fastCheck.array(fastCheck.tuple(fastCheck.string(), positionArbitrary), { maxLength: 8 })
        .map(rows => new Map(rows)),
}, { noNullPrototype: true });

function isInvalidToken(error: unknown): boolean {
    return isTypedError(error, ErrorKind.InvalidToken);
}

test("decoding an encoded token returns an equal token", () => {
    fastCheck.assert(
        fastCheck.property(tokenArbitrary, token => {
            const decoded = decodeSessionToken(encodeSessionToken(token, "secret"), token.caller, "secret");
            assert.deepEqual(decoded, token);
        }),
        { seed, numRuns: 200 },
    );
});

test("an altered or forged token, or one of another caller, is refused with a typed error", () => {
    const token: SessionToken = {
        caller: "dealer",
        positions: new Map([["stock", { term: 2, position: 7, recordedAtMilliseconds: 0 }]]),
    };
    const text = encodeSessionToken(token, "secret");
    fastCheck.assert(
        fastCheck.property(fastCheck.nat(text.length - 2), fastCheck.string({ maxLength: 5_000 }), (index, forged) => {
            const altered = text.slice(0, index) + (text[index] === "A" ? "B" : "A") + text.slice(index + 1);
            assert.throws(() => decodeSessionToken(altered, "dealer", "secret"), isInvalidToken);
            assert.throws(() => decodeSessionToken(forged, "dealer", "secret"), isInvalidToken);
        }),
        { seed, numRuns: 200 },
    );
    assert.throws(() => decodeSessionToken(text, "other dealer", "secret"), isInvalidToken);
    assert.throws(() => decodeSessionToken(text, "dealer", "other secret"), isInvalidToken);
});

test("advancing a token never lowers a position or a term", () => {
    fastCheck.assert(
        fastCheck.property(tokenArbitrary, fastCheck.string(), positionArbitrary, (token, database, seen) => {
            const before = token.positions.get(database);
            const after = advanceSessionToken(token, database, seen).positions.get(database);
            assert.ok(after !== undefined);
            assert.ok(after.position >= Math.max(seen.position, before?.position ?? 0));
            assert.ok(after.term >= Math.max(seen.term, before?.term ?? 0));
        }),
        { seed, numRuns: 200 },
    );
});
