import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { decodeStatement } from "./index.js";

describe("decodeStatement", () => {
    it("decodes statements into their fields", () => {
        assert.deepEqual(decodeStatement("BEGIN"), { kind: StatementKind.Begin, text: "BEGIN", isReadOnly: false });
        assert.deepEqual(decodeStatement("PARSE s1 WRITE q2c"), {
            kind: StatementKind.Prepare,
            text: "PARSE s1 WRITE q2c",
            name: "s1",
            mode: AccessMode.Write,
            shape: "q2c",
        });
        assert.deepEqual(decodeStatement("EXECUTE s1 1a4 some data"), {
            kind: StatementKind.Execute,
            text: "EXECUTE s1 1a4 some data",
            name: "s1",
            remainder: "1a4 some data",
        });
        assert.deepEqual(decodeStatement("SET zone a b"), {
            kind: StatementKind.SetValue,
            text: "SET zone a b",
            name: "zone",
            value: "a b",
        });
    });

    it("decodes invalid texts as unreadable", () => {
        for (const text of ["", "DROP x", "BEGIN WRITE", "READ", "WRITE a", "SET a", "PARSE a b c", "EXECUTE a"]) {
            assert.equal(decodeStatement(text).kind, StatementKind.Unreadable, text);
        }
    });
});
