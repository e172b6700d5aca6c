import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReadGuarantee } from "../../../directory/types/ReadGuarantee.js";
import { createSoakHistory } from "../../../testing/createSoakHistory/index.js";
import { soakConstants } from "../../constants.js";
import type { CallerUnit } from "../../types/CallerUnit.js";
import { findStaleReads } from "./index.js";

const reads = [{ id: "r1", item: "item1", data: "old" }];
const isStale = (changes: Partial<CallerUnit>): boolean =>
    [...findStaleReads(createSoakHistory({}, { reads, ...changes }))].length > 0;
const muchLater = 1_020 + soakConstants.maximumStalenessMilliseconds;

describe("findStaleReads", () => {
    it("requires reads of the primary to return every acknowledged write", () => {
        assert.equal(isStale({ session: "s2", guarantee: ReadGuarantee.Primary }), true);
        assert.equal(isStale({ session: "s2", startedAt: 1_010 }), false);
    });

    it("requires a read-your-writes session to see its own writes, and writes of others after the bound", () => {
        const guarantee = ReadGuarantee.ReadYourWrites;
        assert.equal(isStale({ guarantee }), true);
        assert.equal(isStale({ guarantee, session: "s2" }), false);
        assert.equal(isStale({ guarantee, session: "s2", startedAt: muchLater }), true);
    });

    it("allows bounded-staleness reads to be as old as the bound", () => {
        const guarantee = ReadGuarantee.BoundedStaleness;
        assert.equal(isStale({ guarantee, startedAt: muchLater - 1 }), false);
        assert.equal(isStale({ guarantee, startedAt: muchLater }), true);
    });

    it("finds a read that returned nothing, and ignores a read of data that a promotion discarded", () => {
        assert.equal(isStale({ reads: [{ ...reads[0]!, data: "nothing" }] }), true);
        assert.equal(isStale({ reads: [{ ...reads[0]!, data: "dropped" }] }), false);
    });
});
