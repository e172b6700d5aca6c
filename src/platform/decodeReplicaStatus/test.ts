import fastCheck from "fast-check";
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

    it("ignores fields after those that it knows", () => {
        assert.equal(decodeReplicaStatus("replica 3 3.1209 0 12 2 17 more of it")?.connections, 17);
    });

    it("returns undefined for a row with a term or count that is no number", () => {
        for (
            const row of [
                "replica x 3.1209 0 12 2 17",
                "primary 1e400 3.1209 0 12 2 17",
                "primary 3.5 3.1209 0 12 2 17",
                "primary -3 3.1209 0 12 2 17",
                "replica 3 3.1209 x 12 2 17",
                "replica 3 3.1209 0 x 2 17",
                "replica  3.1209 0 12 2 17",
            ]
        ) {
            assert.equal(decodeReplicaStatus(row), undefined, row);
        }
    });

    it("returns finite numbers or undefined for any row", () => {
        const field = fastCheck.oneof(
            fastCheck.constantFrom("primary", "replica", "3.1209", "-", "NaN", "Infinity", ""),
            fastCheck.nat().map(String),
            fastCheck.stringMatching(/^[0-9.e+-]{1,400}$/),
            fastCheck.string(),
        );
        const row = fastCheck.array(field, { maxLength: 9 }).map(fields => fields.join(" "));
        fastCheck.assert(
            fastCheck.property(row, text => {
                const status = decodeReplicaStatus(text);
                if (status !== undefined) {
                    const { isPrimary, received, ...numbers } = status;
                    assert.equal(typeof isPrimary, "boolean");
                    const all = [...Object.values(numbers), received.term, received.entry];
                    assert.ok(all.every(value => Number.isFinite(value) && value >= 0), text);
                }
            }),
            { seed: 7, numRuns: 5_000 },
        );
    });
});
