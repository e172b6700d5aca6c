import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { WireMessageKind } from "../types/WireMessageKind.js";
import { decodeMessage } from "./index.js";

describe("decodeMessage", () => {
    it("decodes messages of callers", () => {
        assert.deepEqual(decodeMessage("STARTUP shop u1"), {
            kind: WireMessageKind.Startup,
            database: "shop",
            user: "u1",
        });
        assert.deepEqual(decodeMessage("QUERY 7 WRITE a  b c"), {
            kind: WireMessageKind.Query,
            id: "7",
            text: "WRITE a  b c",
        });
        assert.deepEqual(decodeMessage("TERM"), { kind: WireMessageKind.Terminate });
    });

    it("decodes answers of endpoints", () => {
        assert.deepEqual(decodeMessage("READY T 3.1207"), {
            kind: WireMessageKind.Ready,
            state: SessionState.InTransaction,
            position: { term: 3, entry: 1207 },
        });
        assert.deepEqual(decodeMessage("ERROR BUSY no slot"), {
            kind: WireMessageKind.Error,
            failure: { code: FailureCode.Busy, description: "no slot" },
        });
    });

    it("decodes an unknown failure code as a statement that was executed and failed", () => {
        assert.deepEqual(decodeMessage("ERROR WHAT ever"), {
            kind: WireMessageKind.Error,
            failure: { code: FailureCode.Failed, description: "WHAT ever" },
        });
    });

    it("decodes invalid lines as unreadable", () => {
        for (const line of ["", "QUERY", "QUERY 7", "READY X 3.1", "constructor a", "\u0000"]) {
            assert.equal(decodeMessage(line).kind, WireMessageKind.Unreadable, line);
        }
    });
});
