import { failoverConstants } from "../constants.js";
import type { PrimaryEvidence } from "../types/PrimaryEvidence.js";
import { PrimaryJudgement } from "../types/PrimaryJudgement.js";
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
 * if (judgePrimary(evidence) === PrimaryJudgement.Failed) { await changePrimary(group, options); }
 */
export function judgePrimary(evidence: PrimaryEvidence): PrimaryJudgement {
    const { own: ownVerdict, others: otherVerdicts, isComplete, replicaSilenceMilliseconds: contactAges } = evidence;
    const limit = failoverConstants.primarySilenceMilliseconds;
    const inContactCount = contactAges.filter(silence => silence !== undefined && silence < limit).length;
    const outOfContactCount = contactAges.filter(silence => silence !== undefined && silence >= limit).length;
    if (ownVerdict === ProbeVerdict.Alive || otherVerdicts.includes(ProbeVerdict.Alive)) {
        const isIsolated = outOfContactCount === contactAges.length && outOfContactCount >= evidence.majority;
        if (isIsolated) {
            // Statuses read before the suspicion may stem from a short pause that has ended.
            return isComplete ? PrimaryJudgement.Failed : PrimaryJudgement.Undecided;
        }
        return PrimaryJudgement.Serving;
    }
    if (ownVerdict === ProbeVerdict.Refused && otherVerdicts.includes(ProbeVerdict.Refused)) {
        return PrimaryJudgement.Failed;
    }
    if (!isComplete || ownVerdict === ProbeVerdict.Lost || ownVerdict === ProbeVerdict.Unknown) {
        return PrimaryJudgement.Undecided;
    }
    const hasPersisted = evidence.suspectedForMilliseconds >= failoverConstants.unreachedPersistenceMilliseconds;
    return inContactCount === 0 || hasPersisted ? PrimaryJudgement.Failed : PrimaryJudgement.Undecided;
}
