import { failoverConstants } from "../constants.js";
import { PrimaryEvaluation } from "../types/PrimaryEvaluation.js";
import type { PrimaryEvidence } from "../types/PrimaryEvidence.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";

/**
 * Evaluates a suspected primary from the observations of its coordinator, of other gateways and of its replicas.
 *
 * A primary that some gateway reaches and that has contact with enough replicas is serving, whatever the coordinator's
 * own probe shows. A primary that refuses fresh connections in two availability zones has failed at once. A primary
 * that no gateway reaches has failed when no replica is in contact with it, or after a tolerance time. A primary that
 * is reachable while all replicas have lost contact with it can confirm no write, so it has failed as well.
 *
 * @param evidence The observations.
 * @returns The evaluation.
 *
 * @example
 * if (evaluatePrimary(evidence) === PrimaryEvaluation.Failed) { await changePrimary(group, options); }
 */
export function evaluatePrimary(evidence: PrimaryEvidence): PrimaryEvaluation {
    const {
        ownVerdict,
        otherVerdicts,
        isComplete,
        replicaContactAgesMilliseconds: contactAges,
    } = evidence;
    const limit = failoverConstants.primaryContactTimeoutMilliseconds;
    const inContactCount = contactAges.filter(age => age !== undefined && age < limit).length;
    const outOfContactCount = contactAges.filter(age => age !== undefined && age >= limit).length;
    if (ownVerdict === ProbeVerdict.Alive || otherVerdicts.includes(ProbeVerdict.Alive)) {
        const isIsolated = outOfContactCount === contactAges.length && outOfContactCount >= evidence.majority;
        if (isIsolated) {
            // Statuses read before the suspicion may stem from a short pause that has ended.
            return isComplete ? PrimaryEvaluation.Failed : PrimaryEvaluation.Undecided;
        }
        return PrimaryEvaluation.Serving;
    }
    if (ownVerdict === ProbeVerdict.Refused && otherVerdicts.includes(ProbeVerdict.Refused)) {
        return PrimaryEvaluation.Failed;
    }
    if (!isComplete || ownVerdict === ProbeVerdict.Lost || ownVerdict === ProbeVerdict.Unknown) {
        return PrimaryEvaluation.Undecided;
    }
    const hasPersisted = evidence.suspectedForMilliseconds >= failoverConstants.unreachableToleranceMilliseconds;
    return inContactCount === 0 || hasPersisted ? PrimaryEvaluation.Failed : PrimaryEvaluation.Undecided;
}
