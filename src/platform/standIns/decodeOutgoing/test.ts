import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AccessMode } from "../../../statements/types/AccessMode.js";
import { OutgoingKind } from "../../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../../statements/types/OutgoingStatement.js";
import { decodeMessage } from "../../decodeMessage/index.js";
import { encodeOutgoing } from "../../encodeOutgoing/index.js";
import { WireMessageKind } from "../../types/WireMessageKind.js";
import { decodeOutgoing } from "./index.js";

const leastPosition = { term: 3, entry: 1_207 };
const statements: readonly OutgoingStatement[] = [
    { kind: OutgoingKind.Forwarded, id: "5c0e", text: "READ 1a4", leastPosition },
    { kind: OutgoingKind.Forwarded, id: "5c0f", text: "WRITE 1a4 some data", leastPosition: undefined },
    { kind: OutgoingKind.ForwardedExecution, id: "5c10", name: "p1", remainder: "1a4 some data", leastPosition },
    { kind: OutgoingKind.Begin, isReadOnly: true, leastPosition },
    { kind: OutgoingKind.Begin, isReadOnly: false, leastPosition: undefined },
    { kind: OutgoingKind.Rollback },
    { kind: OutgoingKind.Discard },
    { kind: OutgoingKind.ReadStatus },
    { kind: OutgoingKind.SetValue, name: "zone", value: "a b" },
    { kind: OutgoingKind.Prepare, name: "p1", mode: AccessMode.Write, shape: "q2c" },
    { kind: OutgoingKind.PauseReplication, term: 4 },
    { kind: OutgoingKind.ResumeReplication },
    { kind: OutgoingKind.StepDown, term: 4 },
];

describe("decodeOutgoing", () => {
    it("decodes every kind of encoded statement", () => {
        for (const statement of statements) {
            const message = decodeMessage(encodeOutgoing(statement).trimEnd());
            assert.ok(message.kind === WireMessageKind.Query);
            assert.deepEqual(decodeOutgoing(message.id, message.text), statement);
        }
    });
});
