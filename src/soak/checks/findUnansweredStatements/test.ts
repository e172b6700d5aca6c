import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSoakHistory } from "../../../testing/createSoakHistory/index.js";
import { FaultKind } from "../../types/FaultKind.js";
import type { FaultSpan } from "../../types/FaultSpan.js";
import type { SoakHistory } from "../../types/SoakHistory.js";
import type { UnansweredStatement } from "../../types/UnansweredStatement.js";
import { findUnansweredStatements } from "./index.js";

const signalledAt = 20_000;
const stop: FaultSpan = {
    kind: FaultKind.VmStopped,
    vm: 0,
    endpointId: "i-2",
    from: signalledAt,
    to: signalledAt + 6_000,
};
const executed: UnansweredStatement = {
    id: "r1",
    vm: 0,
    sentAt: signalledAt + 5_082,
    endedAt: signalledAt + 5_107,
};

function createHistory(statement: Partial<UnansweredStatement> = {}, ...others: readonly FaultSpan[]): SoakHistory {
    return createSoakHistory({ unansweredStatements: [{ ...executed, ...statement }], faultSpans: [stop, ...others] });
}

function countUnanswered(history: SoakHistory): number {
    return [...findUnansweredStatements(history)].length;
}

describe("findUnansweredStatements", () => {
    it("finds a statement that an endpoint ran and a stop left without an answer", () => {
        assert.deepEqual([...findUnansweredStatements(createHistory())], [
            "statement r1 at VM 0, sent 5082 ms after SIGTERM, run at i-1, ended after 5107 ms",
        ]);
    });

    it("finds a statement that crossed the signal", () => {
        assert.equal(countUnanswered(createHistory({ sentAt: signalledAt - 20, endedAt: signalledAt + 20 })), 1);
    });

    it("finds a statement that no endpoint ran if it was held for longer than a crossing takes", () => {
        const held = (milliseconds: number) =>
            createHistory({ id: "unknown", endedAt: executed.sentAt + milliseconds });
        assert.equal(countUnanswered(held(200)), 0);
        assert.equal(countUnanswered(held(201)), 1);
    });

    it("finds a statement that a reload left without an answer", () => {
        const unansweredStatements = [{ ...executed, sentAt: 22_000, endedAt: 22_020 }];
        const reload = { ...stop, kind: FaultKind.VmReloaded, to: signalledAt };
        assert.equal(countUnanswered(createSoakHistory({ unansweredStatements, faultSpans: [reload] })), 1);
    });

    it("names the stop of a VM that was also reloaded", () => {
        const reload = { ...stop, kind: FaultKind.VmReloaded, from: stop.from + 4_000, to: stop.from + 4_000 };
        assert.match([...findUnansweredStatements(createHistory({}, reload))].join(), /sent 5082 ms after SIGTERM/u);
    });

    it("ignores statements that reached their timeout, were sent at another VM, or ended at another time", () => {
        assert.equal(countUnanswered(createHistory({ endedAt: executed.sentAt + 1_000 })), 0);
        assert.equal(countUnanswered(createHistory({ vm: 1 })), 0);
        assert.equal(countUnanswered(createHistory({ sentAt: signalledAt - 20, endedAt: signalledAt - 1 })), 0);
        assert.equal(countUnanswered(createHistory({ sentAt: signalledAt + 7_001, endedAt: signalledAt + 7_020 })), 0);
    });

    it("ignores statements up to 5 s after a fault of their VM, the store or the endpoint that ran them", () => {
        const at = (kind: FaultKind, changes: Partial<FaultSpan> = {}): FaultSpan => ({
            ...stop,
            kind,
            from: executed.sentAt - 6_000,
            to: executed.sentAt - 5_000,
            ...changes,
        });
        const earlier = { to: executed.sentAt - 5_001 };
        for (const kind of [FaultKind.VmKilled, FaultKind.CallersReset, FaultKind.StoreCut, FaultKind.StoreBusy]) {
            assert.equal(countUnanswered(createHistory({}, at(kind))), 0, kind);
            assert.equal(countUnanswered(createHistory({}, at(kind, earlier))), 1, kind);
        }
        assert.equal(countUnanswered(createHistory({}, at(FaultKind.EndpointSilent, { endpointId: "i-1" }))), 0);
        assert.equal(countUnanswered(createHistory({}, at(FaultKind.EndpointSilent, { endpointId: "i-2" }))), 1);
        assert.equal(countUnanswered(createHistory({}, at(FaultKind.VmKilled, { vm: 1 }))), 1);
        assert.equal(countUnanswered(createHistory({}, at(FaultKind.VmStopped, { vm: 1 }))), 1);
    });
});
