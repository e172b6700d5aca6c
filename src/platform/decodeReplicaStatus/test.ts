import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeReplicaStatus } from "./index.js";

describe("decodeReplicaStatus", () => {
    it("decodes the row", () => {
        assert.deepEqual(decodeReplicaStatus("replica 3 3.1209 0 12 2 17"), {
            isPrimary: false,
            term: 3,
            received: { term: 3, entry: 1_209 },
            heldTerm: 0,
            lagMilliseconds: 12,
            busySlots: 2,
            connections: 17,
        });
    });

    it("returns undefined for an invalid row", () => {
        assert.equal(decodeReplicaStatus("replica 3"), undefined);
        assert.equal(decodeReplicaStatus(""), undefined);
    });
});
