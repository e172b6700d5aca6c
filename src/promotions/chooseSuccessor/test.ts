import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import type { CandidateStatus } from "../types/CandidateStatus.js";
import { chooseSuccessor } from "./index.js";

const regionsByZone = { a: "north", b: "north", c: "south" };

function createCandidate(id: string, availabilityZone: string, entry: number): CandidateStatus {
    return {
        endpoint: createEndpointRecord({ id, address: { host: "127.0.0.1", port: 1, availabilityZone } }),
        status: {
            isPrimary: false,
            term: 3,
            received: { term: 3, entry },
            heldTerm: 0,
            lagMilliseconds: 0,
            busySlots: 0,
            connections: 0,
        },
    };
}

describe("chooseSuccessor", () => {
    const options = {
        replicas: 2,
        synchronousReplicas: 0,
        preferredRegion: "north",
        regionsByZone,
        isEligible: () => true,
    };

    it("chooses the candidate with the highest log position, whatever its region", () => {
        const chosen = chooseSuccessor([createCandidate("x", "a", 10), createCandidate("y", "c", 11)], options);
        assert.equal(chosen?.endpoint.id, "y");
    });

    it("prefers the region among candidates with the same log position", () => {
        const chosen = chooseSuccessor([createCandidate("y", "c", 10), createCandidate("x", "a", 10)], options);
        assert.equal(chosen?.endpoint.id, "x");
    });

    it("prefers the primary among candidates with the same log position", () => {
        const replica = createCandidate("x", "a", 10);
        const { endpoint, status } = createCandidate("y", "c", 10);
        const chosen = chooseSuccessor([replica, { endpoint, status: { ...status, isPrimary: true } }], options);
        assert.equal(chosen?.endpoint.id, "y");
    });

    it("requires an answer from each replica that may hold the only copy of an acknowledged commit", () => {
        const candidates = [createCandidate("x", "a", 10)];
        assert.equal(chooseSuccessor(candidates, { ...options, synchronousReplicas: 1 }), undefined);
        assert.equal(chooseSuccessor([], options), undefined);
        assert.equal(chooseSuccessor(candidates, options)?.endpoint.id, "x");
    });

    it("chooses an eligible candidate, with synchronous replicas only one with the whole log", () => {
        const isEligible = ({ endpoint: { id } }: CandidateStatus): boolean => id !== "new";
        const candidates = [createCandidate("new", "a", 11), createCandidate("x", "a", 10)];
        const chosen = chooseSuccessor(candidates, { ...options, isEligible });
        assert.equal(chosen?.endpoint.id, "x");
        const synchronous = { ...options, isEligible, synchronousReplicas: 1 };
        assert.equal(chooseSuccessor(candidates, synchronous), undefined);
        const equalCandidates = [createCandidate("new", "a", 11), createCandidate("x", "a", 11)];
        assert.equal(chooseSuccessor(equalCandidates, synchronous)?.endpoint.id, "x");
    });
});
