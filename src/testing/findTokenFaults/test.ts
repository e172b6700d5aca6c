import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HistoryEvent } from "../types/HistoryEvent.js";
import { HistoryEventKind } from "../types/HistoryEventKind.js";
import { findTokenFaults } from "./index.js";

const order = (holderName: string, fencingToken: number): HistoryEvent => ({
    kind: HistoryEventKind.Order,
    at: 1,
    holderName,
    fencingToken,
    endpointId: "i-1",
});

describe("findTokenFaults", () => {
    it("finds a token that two VMs used", () => {
        assert.equal(findTokenFaults([order("vm-1", 1), order("vm-2", 1)]).length, 1);
    });

    it("finds a token that is lower than an earlier one", () => {
        assert.equal(findTokenFaults([order("vm-2", 2), order("vm-1", 1)]).length, 1);
    });

    it("accepts tokens that grow with the holder", () => {
        assert.deepEqual(findTokenFaults([order("vm-1", 1), order("vm-1", 1), order("vm-2", 2)]), []);
    });
});
