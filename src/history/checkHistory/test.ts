import assert from "node:assert/strict";
import { test } from "node:test";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { OperationKind } from "../types/OperationKind.js";
import { ReadGuarantee } from "../types/ReadGuarantee.js";
import type { RecordedOperation } from "../types/RecordedOperation.js";
import { ViolationKind } from "../types/ViolationKind.js";
import { checkHistory } from "./index.js";

type Change = Partial<RecordedOperation>;

const common = { database: "stock", caller: "dealer", session: "s1", outcome: OutcomeKind.Answer } as const;

function append(value: string, invokedAt: number, change: Change = {}): RecordedOperation {
    const completedAt = invokedAt + 1;
    return { ...common, kind: OperationKind.Append, lists: ["a"], value, invokedAt, completedAt, ...change };
}

function read(values: readonly string[], invokedAt: number, change: Change = {}): RecordedOperation {
    const guarantee = ReadGuarantee.Session;
    const contents = [{ list: "a", values }];
    const completedAt = invokedAt + 1;
    return {
        ...common,
        kind: OperationKind.ReadList,
        lists: ["a"],
        contents,
        guarantee,
        invokedAt,
        completedAt,
        ...change,
    };
}

function pair(value: string, invokedAt: number, change: Change = {}): RecordedOperation {
    return append(value, invokedAt, { kind: OperationKind.AppendPair, lists: ["p/left", "p/right"], ...change });
}

function readPair(left: readonly string[], right: readonly string[], invokedAt: number): RecordedOperation {
    const lists = ["p/left", "p/right"];
    const contents = [{ list: "p/left", values: left }, { list: "p/right", values: right }];
    return read([], invokedAt, { kind: OperationKind.ReadPair, lists, contents });
}

function final(lists: Record<string, readonly string[]>, source = "stock-1") {
    return { database: "stock", source, lists: new Map(Object.entries(lists)) };
}

function servedInTerm(term: number): Change {
    return { servedBy: { endpoint: "stock-1", role: "Primary", term, position: 1 } };
}

const notRun = { outcome: OutcomeKind.NotRun, reason: "Overloaded" };
const unknown = { outcome: OutcomeKind.OutcomeUnknown };
const boundedStaleness = { guarantee: ReadGuarantee.Age, maximumAgeMilliseconds: 100, session: "s2" };
const finalA = [final({ a: ["v1"] })];

const badHistories: readonly [string, ViolationKind, Parameters<typeof checkHistory>][] = [
    ["an acknowledged write is missing", ViolationKind.LostWrite, [[append("v1", 1)], [final({ a: [] })]]],
    ["a value is in the final state twice", ViolationKind.DoubledWrite, [[append("v1", 1)], [
        final({ a: ["v1", "v1"] }),
    ]]],
    ["an unknown write runs twice", ViolationKind.DoubledWrite, [
        [append("v1", 1, unknown)],
        [final({ a: ["v1", "v1"] })],
    ]],
    ["a value is read twice", ViolationKind.DoubledWrite, [[append("v1", 1), read(["v1", "v1"], 3)], finalA]],
    ["a refused write ran", ViolationKind.NotRunTookEffect, [[append("v1", 1, notRun)], finalA]],
    ["a refused write was read", ViolationKind.NotRunTookEffect, [[append("v1", 1, notRun), read(["v1"], 3)], []]],
    ["a value that no request wrote is read", ViolationKind.ReadFromFuture, [[read(["v9"], 3)], []]],
    ["a value that no request wrote is in the final state", ViolationKind.ReadFromFuture, [[], finalA]],
    ["a value is read before it is written", ViolationKind.ReadFromFuture, [
        [read(["v1"], 1, { session: "s2" }), append("v1", 5)],
        finalA,
    ]],
    ["an undone write was read", ViolationKind.ReadOfUndoneWrite, [
        [append("v1", 1, unknown), read(["v1"], 3, { session: "s2" })],
        [final({ a: [] })],
    ]],
    ["values were read in another order", ViolationKind.ReadOfUndoneWrite, [
        [append("v1", 1), append("v2", 3), read(["v2", "v1"], 5)],
        [final({ a: ["v1", "v2"] })],
    ]],
    ["a session misses its write", ViolationKind.StaleRead, [[append("v1", 1), read([], 3)], finalA]],
    ["a session sees less than before", ViolationKind.NonMonotonicRead, [
        [append("v1", 1), read(["v1"], 3, { session: "s2" }), read([], 5, { session: "s2" })],
        finalA,
    ]],
    ["a bounded-staleness read of a session misses its write", ViolationKind.StaleRead, [
        [append("v1", 1), read([], 3, { ...boundedStaleness, session: "s1", ageMilliseconds: 50 })],
        finalA,
    ]],
    ["a read without token misses a write", ViolationKind.MissedLatestWrite, [
        [append("v1", 1), read([], 3, { guarantee: ReadGuarantee.Latest, session: "s2" })],
        finalA,
    ]],
    ["a read is older than its reported age", ViolationKind.ReadTooOld, [
        [append("v1", 1), read([], 60, { ...boundedStaleness, ageMilliseconds: 20 })],
        finalA,
    ]],
    ["a read is older than accepted", ViolationKind.ReadTooOld, [
        [append("v1", 1), read(["v1"], 500, { ...boundedStaleness, ageMilliseconds: 200 })],
        finalA,
    ]],
    ["half a transaction is in the final state", ViolationKind.PartialTransaction, [
        [pair("v1", 1, unknown)],
        [final({ "p/left": ["v1"] })],
    ]],
    ["half a transaction is read", ViolationKind.PartialTransaction, [[pair("v1", 1), readPair(["v1"], [], 3)], []]],
    ["a statement ran in another transaction", ViolationKind.MixedTransaction, [
        [append("v1", 1, { caller: "rival" })],
        [final({ a: ["v1"], b: ["v1"] })],
    ]],
    ["another caller's value is read", ViolationKind.MixedTransaction, [
        [append("v1", 1, { caller: "rival", lists: ["b"] }), read(["v1"], 3)],
        [],
    ]],
    ["an answer names another list", ViolationKind.ForeignAnswer, [[read([], 1, { lists: ["b"] })], []]],
    ["an answer holds another list's values", ViolationKind.ForeignAnswer, [
        [append("v1", 1, { lists: ["b"] }), read(["v1"], 3)],
        [],
    ]],
    ["a superseded primary acknowledges", ViolationKind.SupersededAcknowledgement, [
        [append("v1", 1, servedInTerm(2)), append("v2", 3, servedInTerm(1))],
        [final({ a: ["v1", "v2"] })],
    ]],
    ["two sources differ", ViolationKind.DivergedState, [
        [append("v1", 1, unknown)],
        [final({ a: ["v1"] }), final({ a: [] }, "stock-2")],
    ]],
];

for (const [name, kind, [operations, states]] of badHistories) {
    test(`${kind} is found when ${name}`, () => {
        const verdict = checkHistory(operations, states);
        assert.equal(verdict.isSound, false);
        assert.ok(verdict.countByKind[kind] !== undefined, JSON.stringify(verdict.countByKind));
    });
}

test("every kind of violation has a bad history", () => {
    assert.deepEqual(new Set(badHistories.map(([, kind]) => kind)), new Set(Object.values(ViolationKind)));
});

test("a sound history has no violation", () => {
    const operations = [
        append("v1", 1, servedInTerm(1)),
        read(["v1"], 3),
        append("v2", 5, { ...unknown, session: "s2" }),
        append("v3", 7, { ...notRun, session: "s2" }),
        append("v4", 9, servedInTerm(2)),
        read([], 10, { ...boundedStaleness, ageMilliseconds: 20 }),
        read(["v1"], 11, { session: "s3", guarantee: ReadGuarantee.Any }),
        read(["v1", "v4"], 13, { guarantee: ReadGuarantee.Latest }),
        pair("v5", 15),
        readPair(["v5"], ["v5"], 17),
    ];
    const lists = { "a": ["v1", "v4"], "p/left": ["v5"], "p/right": ["v5"] };
    const verdict = checkHistory(operations, [final(lists), final(lists, "the proxy")]);
    assert.deepEqual(verdict.violations, []);
    assert.equal(verdict.acknowledgedWriteCount, 3);
    assert.equal(verdict.unknownOutcomeCount, 1);
});
