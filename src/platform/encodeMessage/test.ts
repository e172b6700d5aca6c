import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { decodeMessage } from "../decodeMessage/index.js";
import type { WireMessage } from "../types/WireMessage.js";
import { WireMessageKind } from "../types/WireMessageKind.js";
import { encodeMessage } from "./index.js";

/** Gives generated records the usual object prototype, so that they compare equal to decoded ones. */
const recordConstraints = { noNullPrototype: true };
const word = fastCheck.stringMatching(/^[!-~]{1,12}$/);
const text = fastCheck.stringMatching(/^[ -~]{1,30}$/);
const position = fastCheck.record({ term: fastCheck.nat(), entry: fastCheck.nat() }, recordConstraints);
const message: fastCheck.Arbitrary<WireMessage> = fastCheck.oneof(
    fastCheck.record(
        { kind: fastCheck.constant(WireMessageKind.Startup as const), database: word, user: text },
        recordConstraints,
    ),
    fastCheck.record({ kind: fastCheck.constant(WireMessageKind.Query as const), id: word, text }, recordConstraints),
    fastCheck.record({ kind: fastCheck.constant(WireMessageKind.Row as const), text }, recordConstraints),
    fastCheck.record(
        { kind: fastCheck.constant(WireMessageKind.Complete as const), signature: text },
        recordConstraints,
    ),
    fastCheck.record({
        kind: fastCheck.constant(WireMessageKind.Error as const),
        failure: fastCheck.record({
            code: fastCheck.constantFrom(...Object.values(FailureCode)),
            description: text,
        }, recordConstraints),
    }, recordConstraints),
    fastCheck.record({
        kind: fastCheck.constant(WireMessageKind.Ready as const),
        state: fastCheck.constantFrom(...Object.values(SessionState)),
        position: fastCheck.option(position, { nil: undefined }),
    }, recordConstraints),
);

describe("encodeMessage", () => {
    it("gives a line that decodes to the same message", () => {
        fastCheck.assert(
            fastCheck.property(message, original => {
                const line = encodeMessage(original);
                assert.ok(line.endsWith("\r\n"));
                assert.deepEqual(decodeMessage(line.slice(0, -2)), original);
            }),
            { seed: 7, numRuns: 500 },
        );
    });

    it("keeps a failure on one line, whatever its description holds", () => {
        const failure = { code: FailureCode.Failed, description: "one\r\nREADY I -\rtwo" };
        assert.equal(
            encodeMessage({ kind: WireMessageKind.Error, failure }),
            `ERROR FAILED one READY I - two\r\n`,
        );
    });

    it("never throws while decoding an arbitrary line", () => {
        fastCheck.assert(fastCheck.property(fastCheck.string(), line => void decodeMessage(line)), { seed: 7 });
    });
});
