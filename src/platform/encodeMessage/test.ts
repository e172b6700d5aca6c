import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { decodeMessage } from "../decodeMessage/index.js";
import type { WireMessage } from "../types/WireMessage.js";
import { WireMessageKind } from "../types/WireMessageKind.js";
import { encodeMessage } from "./index.js";

/** Records as the product makes them: with the prototype of every object. */
const plain = { noNullPrototype: true };
const word = fastCheck.stringMatching(/^[!-~]{1,12}$/);
const text = fastCheck.stringMatching(/^[ -~]{1,30}$/);
const position = fastCheck.record({ term: fastCheck.nat(), entry: fastCheck.nat() }, plain);
const message: fastCheck.Arbitrary<WireMessage> = fastCheck.oneof(
    fastCheck.record({ kind: fastCheck.constant(WireMessageKind.Startup as const), database: word, user: text }, plain),
    fastCheck.record({ kind: fastCheck.constant(WireMessageKind.Query as const), id: word, text }, plain),
    fastCheck.record({ kind: fastCheck.constant(WireMessageKind.Row as const), text }, plain),
    fastCheck.record({ kind: fastCheck.constant(WireMessageKind.Complete as const), signature: text }, plain),
    fastCheck.record({
        kind: fastCheck.constant(WireMessageKind.Error as const),
        failure: fastCheck.record({
            code: fastCheck.constantFrom(...Object.values(FailureCode)),
            description: text,
        }, plain),
    }, plain),
    fastCheck.record({
        kind: fastCheck.constant(WireMessageKind.Ready as const),
        state: fastCheck.constantFrom(...Object.values(SessionState)),
        position: fastCheck.option(position, { nil: undefined }),
    }, plain),
);

describe("encodeMessage", () => {
    it("is undone by decoding, whatever the message", () => {
        fastCheck.assert(
            fastCheck.property(message, original => {
                const line = encodeMessage(original);
                assert.ok(line.endsWith("\r\n"));
                assert.deepEqual(decodeMessage(line.slice(0, -2)), original);
            }),
            { seed: 7, numRuns: 500 },
        );
    });

    it("never throws on what anybody sends", () => {
        fastCheck.assert(fastCheck.property(fastCheck.string(), line => void decodeMessage(line)), { seed: 7 });
    });
});
