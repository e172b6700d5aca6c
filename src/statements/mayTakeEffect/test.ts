import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SessionState } from "../types/SessionState.js";
import { StatementKind } from "../types/StatementKind.js";
import { mayTakeEffect } from "./index.js";

const write = { kind: StatementKind.Write, text: "WRITE a b" } as const;
const execute = { kind: StatementKind.Execute, text: "EXECUTE s a b", name: "s", remainder: "a b" } as const;
const read = { kind: StatementKind.Read, text: "READ a" } as const;
const commit = { kind: StatementKind.Commit, text: "COMMIT" } as const;

describe("mayTakeEffect", () => {
    it("assumes an effect of single writes and of prepared statements, which may write", () => {
        assert.equal(mayTakeEffect(write, SessionState.Idle), true);
        assert.equal(mayTakeEffect(execute, SessionState.Idle), true);
        assert.equal(mayTakeEffect(read, SessionState.Idle), false);
    });

    it("excludes an effect of a transaction before its commit was sent", () => {
        assert.equal(mayTakeEffect(write, SessionState.InTransaction), false);
        assert.equal(mayTakeEffect(commit, SessionState.InTransaction), true);
        assert.equal(mayTakeEffect(commit, SessionState.FailedTransaction), false);
    });
});
