import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import { encodeOutgoing } from "./index.js";

describe("encodeOutgoing", () => {
    it("keeps the id and text of a caller's statement", () => {
        const line = encodeOutgoing({
            kind: OutgoingKind.Forwarded,
            id: "5c0e",
            text: "READ 1a4",
            leastPosition: { term: 3, entry: 1207 },
        });
        assert.equal(line, "QUERY 5c0e AFTERLSN 3.1207 READ 1a4\r\n");
    });

    it("gives the proxy's own statements the id `-`", () => {
        assert.equal(encodeOutgoing({ kind: OutgoingKind.Begin, isReadOnly: true }), "QUERY - BEGIN READ\r\n");
        assert.equal(
            encodeOutgoing({ kind: OutgoingKind.Prepare, name: "p1", mode: AccessMode.Write, shape: "q2c" }),
            "QUERY - PARSE p1 WRITE q2c\r\n",
        );
        assert.equal(encodeOutgoing({ kind: OutgoingKind.StepDown, term: 4 }), "QUERY - STEPDOWN 4\r\n");
    });
});
