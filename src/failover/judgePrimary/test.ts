import assert from "node:assert/strict";
import { test } from "node:test";
import type { PrimaryEvidence } from "../types/PrimaryEvidence.js";
import { PrimaryJudgement } from "../types/PrimaryJudgement.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";
import { judgePrimary } from "./index.js";

const { Alive, Lost, Refused, Silent, Unknown } = ProbeVerdict;
const { Failed, Serving, Undecided } = PrimaryJudgement;
const silentEverywhere: PrimaryEvidence = {
    own: Silent,
    others: [Silent, Silent],
    isComplete: true,
    replicaSilenceMilliseconds: [900, 900],
    majority: 2,
    suspectedForMilliseconds: 0,
};

const cases: Record<string, readonly [Partial<PrimaryEvidence>, PrimaryJudgement]> = {
    "silent to all probers and out of contact with its replicas": [{}, Failed],
    "refusing connections in two zones, although its replicas were in contact with it a moment ago": [
        { own: Refused, others: [Refused], isComplete: false, replicaSilenceMilliseconds: [20, 20] },
        Failed,
    ],
    "refusing connections of the coordinator only": [
        { own: Refused, others: [Alive], replicaSilenceMilliseconds: [20, 20] },
        Serving,
    ],
    "refusing the coordinator, and no other prober has answered yet": [
        { own: Refused, others: [], isComplete: false },
        Undecided,
    ],
    "silent to the coordinator only": [{ others: [Unknown, Alive], replicaSilenceMilliseconds: [20, 900] }, Serving],
    "reachable, but out of contact with every replica": [{ own: Alive }, Failed],
    "reachable, but out of contact with every replica before they were queried again": [{
        own: Alive,
        isComplete: false,
    }, Undecided],
    "reachable, with one replica out of contact with it and the other unreachable": [
        { own: Alive, replicaSilenceMilliseconds: [900, undefined] },
        Serving,
    ],
    "unreachable, but in contact with a replica": [{ replicaSilenceMilliseconds: [20, 900] }, Undecided],
    "unreachable for long, although in contact with a replica": [
        { replicaSilenceMilliseconds: [20, 900], suspectedForMilliseconds: 2_000 },
        Failed,
    ],
    "a fresh connection is still being tried": [{ own: Lost }, Undecided],
    "no other gateway answers and no replica is in contact with it": [{ others: [Unknown, Unknown] }, Failed],
};

for (const [name, [evidence, expected]] of Object.entries(cases)) {
    test(`a primary is evaluated as ${expected} when ${name}`, () => {
        assert.equal(judgePrimary({ ...silentEverywhere, ...evidence }), expected);
    });
}
