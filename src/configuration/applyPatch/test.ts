import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { checkPatch } from "../checkPatch/index.js";
import { digestDocument } from "../digestDocument/index.js";
import { parsePatch } from "../parsePatch/index.js";
import { splitText } from "../splitText/index.js";
import type { ConfigurationDocument } from "../types/ConfigurationDocument.js";
import { updateDigest } from "../updateDigest/index.js";
import { applyPatch } from "./index.js";

const seed = 5;
const key = fastCheck.constantFrom("a", "b", "toString", "databases", "limits");
const { value } = fastCheck.letrec<{ value: unknown; }>(tie => ({
    value: fastCheck.oneof(
        { depthSize: "small" },
        fastCheck.constantFrom(1, "x", true, JSON.parse("null") as unknown, [1]),
        fastCheck.dictionary(key, tie("value"), { noNullPrototype: true }),
    ),
}));
const record = fastCheck.dictionary(key, value, { noNullPrototype: true });

/** Reference implementation, as given in section 2 of RFC 7396. */
function mergeByDefinition(target: unknown, patch: unknown): unknown {
    if (typeof patch !== "object" || !patch || Array.isArray(patch)) {
        return patch;
    }
    const result: Record<string, unknown> = typeof target === "object" && !Array.isArray(target) ? { ...target } : {};
    for (const [name, inner] of Object.entries(patch)) {
        if ((inner ?? undefined) === undefined) {
            delete result[name];
        }
        else {
            result[name] = mergeByDefinition(Object.hasOwn(result, name) ? result[name] : undefined, inner);
        }
    }
    return result;
}

test("patches merge as RFC 7396 defines, change nothing in place and update the digest to that of the document", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.array(record, { maxLength: 5 }), patches => {
            let document: ConfigurationDocument = {};
            let expected: unknown = {};
            let digest = digestDocument({});
            for (const patch of patches) {
                const before = structuredClone(document);
                const next = applyPatch(document, patch);
                assert.deepEqual(document, before);
                expected = mergeByDefinition(expected, patch);
                assert.deepEqual(next, expected);
                digest = updateDigest(digest, document, next, patch);
                assert.equal(digest, digestDocument(structuredClone(next)));
                document = next;
            }
        }),
        { seed, numRuns: 500 },
    );
});

const endpoint = { host: "127.0.0.1", port: 1, availabilityZone: "a", region: "north", slots: 3, connectionLimit: 20 };
const database = { endpoints: { "e-1": endpoint }, initialPrimary: "e-1" };
const invalidPatches: readonly [string, string, string][] = [
    ["{ \"limits\": ", "", "not JSON"],
    ["[1]", "", "not a JSON object"],
    [`{"limits":{"x":"${"y".repeat(1_000_000)}"}}`, "", "at most 1000000 are accepted"],
    ["{ \"__proto__\": { \"limits\": {} } }", "__proto__", "reserved"],
    [`${"{\"a\":".repeat(40)}1${"}".repeat(40)}`, Array(33).fill("a").join("."), "nested deeper"],
    ["{ \"limits\": { \"requestBytes\": \"many\" } }", "limits.requestBytes", "expected number"],
    ["{ \"limit\": {} }", "limit", "unknown key"],
    [JSON.stringify({ databases: { two: database } }), "databases.two.endpoints.e-1", "taken by an endpoint"],
    [JSON.stringify({ databases: { one: { initialPrimary: "e-9" } } }), "databases.one.initialPrimary", "endpoints"],
    [JSON.stringify({ callers: { c: { keyDigest: "0".repeat(64), databases: ["x"] } } }), "callers.c.databases", "no"],
];
for (const [text, expectedKey, reason] of invalidPatches) {
    test(`the error of an invalid patch names the key and the reason: ${text.slice(0, 60)}`, () => {
        const document = { databases: { one: database } };
        try {
            checkPatch(document, parsePatch(text));
        }
        catch (error) {
            const typed = toTypedError(error);
            assert.equal(typed.kind, ErrorKind.InvalidPatch);
            assert.equal(typed.details["key"], expectedKey);
            assert.ok(typed.message.includes(reason), typed.message);
            return;
        }
        assert.fail("the patch was accepted");
    });
}

test("a text is split between characters, and the joined parts equal the text", () => {
    fastCheck.assert(
        fastCheck.property(
            fastCheck.string({ unit: "grapheme" }),
            fastCheck.integer({ min: 2, max: 5 }),
            (text, length) => {
                const parts = splitText(text, length);
                assert.equal(parts.join(""), text);
                assert.ok(parts.every(part => part.length <= length && Buffer.from(part).toString() === part));
            },
        ),
        { seed },
    );
});
