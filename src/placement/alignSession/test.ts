import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { PooledSession } from "../types/PooledSession.js";
import { alignSession } from "./index.js";

function createPooled(values: Record<string, string>, prepared: string[] = []): PooledSession {
    return {
        session: undefined as never,
        idleSince: 0,
        endpointStartedAt: 0,
        values: new Map(Object.entries(values)),
        prepared: new Set(prepared),
    };
}

describe("alignSession", () => {
    it("sets only values that differ", () => {
        const pooled = createPooled({ zone: "a", unit: "kg" });
        const values = new Map([["zone", "a"], ["unit", "g"]]);
        assert.deepEqual([...alignSession(pooled, { values })], [
            { kind: OutgoingKind.SetValue, name: "unit", value: "g" },
        ]);
        assert.deepEqual([...alignSession(pooled, { values })], []);
    });

    it("clears another caller's values, and prepares again the statement that was cleared with them", () => {
        const pooled = createPooled({ zone: "a" }, ["p1"]);
        const prepared = { endpointName: "p1", mode: AccessMode.Read, shape: "q2" };
        const statements = [...alignSession(pooled, { values: new Map([["unit", "g"]]), prepared })];
        assert.deepEqual(statements.map(statement => statement.kind), [
            OutgoingKind.Discard,
            OutgoingKind.SetValue,
            OutgoingKind.Prepare,
        ]);
    });
});
