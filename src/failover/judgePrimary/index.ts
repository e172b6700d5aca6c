import { failoverConstants } from "../constants.js";
import type { PrimaryEvidence } from "../types/PrimaryEvidence.js";
import { PrimaryJudgement } from "../types/PrimaryJudgement.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";

/**
 * Judges a suspected primary from what its coordinator, other gateways and its replicas see.
 *
 * A primary that some gateway reaches and enough replicas hear is serving, whatever the coordinator's own path says.
 * A primary that refuses fresh connections in two availability zones has failed at once. A primary that nobody
 * reaches has failed when no replica hears it, or after a while. A primary that is reached while all replicas have
 * lost it can confirm no write, so it has failed as well.
 *
 * @param evidence What is known.
 * @returns The judgement.
 *
 * @example
 * if (judgePrimary(evidence) === PrimaryJudgement.Failed) { await changePrimary(group, options); }
 */
export function judgePrimary(evidence: PrimaryEvidence): PrimaryJudgement {
    const { own, others, isComplete, replicaSilenceMilliseconds: silences } = evidence;
    const limit = failoverConstants.primarySilenceMilliseconds;
    const hearing = silences.filter(silence => silence !== undefined && silence < limit).length;
    const silent = silences.filter(silence => silence !== undefined && silence >= limit).length;
    if (own === ProbeVerdict.Alive || others.includes(ProbeVerdict.Alive)) {
        const isIsolated = silent === silences.length && silent >= evidence.majority;
        if (isIsolated) {
            // Statuses from before the suspicion may be those of a short pause that is over.
            return isComplete ? PrimaryJudgement.Failed : PrimaryJudgement.Undecided;
        }
        return PrimaryJudgement.Serving;
    }
    if (own === ProbeVerdict.Refused && others.includes(ProbeVerdict.Refused)) {
        return PrimaryJudgement.Failed;
    }
    if (!isComplete || own === ProbeVerdict.Lost || own === ProbeVerdict.Unknown) {
        return PrimaryJudgement.Undecided;
    }
    const hasPersisted = evidence.suspectedForMilliseconds >= failoverConstants.unreachedPersistenceMilliseconds;
    return hearing === 0 || hasPersisted ? PrimaryJudgement.Failed : PrimaryJudgement.Undecided;
}
