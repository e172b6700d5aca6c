import assert from "node:assert/strict";
import { test } from "node:test";
import { PrimaryEvaluation } from "../types/PrimaryEvaluation.js";
import type { PrimaryEvidence } from "../types/PrimaryEvidence.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";
import { evaluatePrimary } from "./index.js";

const { Alive, Lost, Refused, Silent, Unknown } = ProbeVerdict;
const { Failed, Serving, Undecided } = PrimaryEvaluation;
const silentEverywhere: PrimaryEvidence = {
    ownVerdict: Silent,
    otherVerdicts: [Silent, Silent],
    isComplete: true,
    replicaContactAgesMilliseconds: [900, 900],
    majority: 2,
    suspectedForMilliseconds: 0,
};

const cases: Record<string, readonly [Partial<PrimaryEvidence>, PrimaryEvaluation]> = {
    "silent to all probers and out of contact with its replicas": [{}, Failed],
    "refusing connections in two zones, although its replicas were in contact with it a moment ago": [
        { ownVerdict: Refused, otherVerdicts: [Refused], isComplete: false, replicaContactAgesMilliseconds: [20, 20] },
        Failed,
    ],
    "refusing connections of the coordinator only": [
        { ownVerdict: Refused, otherVerdicts: [Alive], replicaContactAgesMilliseconds: [20, 20] },
        Serving,
    ],
    "refusing the coordinator, and no other prober has answered yet": [
        { ownVerdict: Refused, otherVerdicts: [], isComplete: false },
        Undecided,
    ],
    "silent to the coordinator only": [
        { otherVerdicts: [Unknown, Alive], replicaContactAgesMilliseconds: [20, 900] },
        Serving,
    ],
    "reachable, but out of contact with every replica": [{ ownVerdict: Alive }, Failed],
    "reachable, but out of contact with every replica before they were queried again": [{
        ownVerdict: Alive,
        isComplete: false,
    }, Undecided],
    "reachable, with one replica out of contact with it and the other unreachable": [
        { ownVerdict: Alive, replicaContactAgesMilliseconds: [900, undefined] },
        Serving,
    ],
    "unreachable, but in contact with a replica": [{ replicaContactAgesMilliseconds: [20, 900] }, Undecided],
    "unreachable for long, although in contact with a replica": [
        { replicaContactAgesMilliseconds: [20, 900], suspectedForMilliseconds: 2_000 },
        Failed,
    ],
    "a fresh connection is still being tried": [{ ownVerdict: Lost }, Undecided],
    "no other gateway answers and no replica is in contact with it": [{ otherVerdicts: [Unknown, Unknown] }, Failed],
};

for (const [name, [evidence, expected]] of Object.entries(cases)) {
    test(`a primary is evaluated as ${expected} when ${name}`, () => {
        assert.equal(evaluatePrimary({ ...silentEverywhere, ...evidence }), expected);
    });
}
