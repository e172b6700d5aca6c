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
    "silent to all and unheard by its replicas": [{}, Failed],
    "refusing in two zones, though heard a moment ago": [
        { own: Refused, others: [Refused], isComplete: false, replicaSilenceMilliseconds: [20, 20] },
        Failed,
    ],
    "refusing the coordinator alone": [
        { own: Refused, others: [Alive], replicaSilenceMilliseconds: [20, 20] },
        Serving,
    ],
    "refusing the coordinator, others not asked yet": [{ own: Refused, others: [], isComplete: false }, Undecided],
    "silent to the coordinator alone": [{ others: [Unknown, Alive], replicaSilenceMilliseconds: [20, 900] }, Serving],
    "reached, and lost by every replica": [{ own: Alive }, Failed],
    "reached, and lost by every replica before they were asked again": [{ own: Alive, isComplete: false }, Undecided],
    "reached, one replica silent and the other out of reach": [
        { own: Alive, replicaSilenceMilliseconds: [900, undefined] },
        Serving,
    ],
    "unreached, but a replica hears it": [{ replicaSilenceMilliseconds: [20, 900] }, Undecided],
    "unreached for long, though a replica hears it": [
        { replicaSilenceMilliseconds: [20, 900], suspectedForMilliseconds: 2_000 },
        Failed,
    ],
    "a fresh connection is still being tried": [{ own: Lost }, Undecided],
    "no other gateway can be asked and no replica hears it": [{ others: [Unknown, Unknown] }, Failed],
};

for (const [name, [evidence, expected]] of Object.entries(cases)) {
    test(`a primary is judged ${expected} when ${name}`, () => {
        assert.equal(judgePrimary({ ...silentEverywhere, ...evidence }), expected);
    });
}
