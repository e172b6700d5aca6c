import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HistoryEvent } from "../types/HistoryEvent.js";
import { HistoryEventKind } from "../types/HistoryEventKind.js";
import { findStaleWrites } from "./index.js";

const group = "orders";
const position = { term: 1, entry: 1 };
const promote = (endpointId: string, at: number): HistoryEvent => ({
    kind: HistoryEventKind.Promotion,
    group,
    endpointId,
    at,
    term: 1,
    position,
});
const commit = (endpointId: string, writeId: string, at: number): HistoryEvent => ({
    kind: HistoryEventKind.Commit,
    group,
    endpointId,
    writeId,
    at,
    position,
});
const acknowledge = (writeId: string, at: number): HistoryEvent => ({
    kind: HistoryEventKind.Acknowledgement,
    group,
    writeId,
    at,
});

describe("findStaleWrites", () => {
    it("finds an acknowledged write of the previous primary", () => {
        const history = [promote("i-1", 0), promote("i-2", 10), commit("i-1", "w-1", 11), acknowledge("w-1", 12)];
        assert.equal(findStaleWrites(history).length, 1);
    });

    it("finds a write that was acknowledged after a further promotion of the same endpoint", () => {
        const history = [
            promote("i-1", 0),
            promote("i-2", 10),
            commit("i-1", "w-1", 11),
            promote("i-1", 12),
            acknowledge("w-1", 13),
        ];
        assert.equal(findStaleWrites(history).length, 1);
    });

    it("accepts a write that was committed before the promotion or is never acknowledged", () => {
        const history = [
            promote("i-1", 0),
            commit("i-1", "w-1", 9),
            promote("i-2", 10),
            acknowledge("w-1", 11),
            commit("i-1", "w-2", 12),
            commit("i-2", "w-3", 12),
            acknowledge("w-3", 13),
        ];
        assert.deepEqual(findStaleWrites(history), []);
    });
});
