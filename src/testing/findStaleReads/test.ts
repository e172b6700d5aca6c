import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HistoryEvent } from "../types/HistoryEvent.js";
import { HistoryEventKind } from "../types/HistoryEventKind.js";
import { findStaleReads } from "./index.js";

const { Promotion, Commit, Acknowledgement, ReadRequest, Read, ReadAnswer } = HistoryEventKind;
const common = { at: 1, group: "orders" };
const position = (term: number, entry: number) => ({ term, entry });
const promote = (endpointId: string, term: number, entry: number): HistoryEvent => ({
    ...common,
    kind: Promotion,
    endpointId,
    term,
    position: position(term - 1, entry),
});
const commit = (endpointId: string, term: number, entry: number): readonly HistoryEvent[] => [
    { ...common, kind: Commit, endpointId, writeId: `w${entry}`, position: position(term, entry) },
    { ...common, kind: Acknowledgement, writeId: `w${entry}` },
];
const read = (endpointId: string, term: number, entry: number): readonly HistoryEvent[] => [
    { ...common, kind: ReadRequest, readId: "r" },
    { ...common, kind: Read, endpointId, readId: "r", position: position(term, entry) },
    { ...common, kind: ReadAnswer, readId: "r" },
];
const start = [promote("i-1", 1, 0), ...commit("i-1", 1, 5)];

describe("findStaleReads", () => {
    it("finds a read at a former primary that lacks an acknowledged commit of its successor", () => {
        const history = [...start, promote("i-2", 2, 5), ...commit("i-2", 2, 6), ...read("i-1", 1, 9)];
        assert.equal(findStaleReads(history).length, 1);
        assert.deepEqual(findStaleReads(history.slice(0, -1)), [], "it was not answered");
        assert.deepEqual(findStaleReads([...start, promote("i-2", 2, 5), ...read("i-1", 1, 5)]), []);
    });

    it("counts neither a commit that a promotion dropped nor one acknowledged after the read was sent", () => {
        assert.deepEqual(findStaleReads([...start, promote("i-2", 2, 3), ...read("i-2", 1, 3)]), []);
        const [request, ...rest] = read("i-1", 1, 5);
        assert.deepEqual(findStaleReads([...start, request!, ...commit("i-1", 1, 6), ...rest]), []);
        assert.equal(findStaleReads([...start, ...commit("i-1", 1, 6), request!, ...rest]).length, 1);
    });
});
