import { evaluatePrimary } from "../evaluatePrimary/index.js";
import { probeIndirectly } from "../probeIndirectly/index.js";
import type { CoordinatedGroup } from "../types/CoordinatedGroup.js";
import type { EndpointProbe } from "../types/EndpointProbe.js";
import { PrimaryEvaluation } from "../types/PrimaryEvaluation.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";

/** Options of `verifySuspectedPrimary`. */
interface VerificationOptions {
    readonly suspectedForMilliseconds: number;
}

/**
 * Verifies whether a suspected primary still serves: queries its probe, other gateways and the replicas concurrently.
 *
 * @param group The group.
 * @param suspect The probe of the suspected endpoint.
 * @param options How long it has been suspected, in milliseconds.
 * @returns The evaluation; returned early when the evidence already shows a failure.
 *
 * @example
 * const evaluation = await verifySuspectedPrimary(group, suspect, { suspectedForMilliseconds: 0 });
 */
export async function verifySuspectedPrimary(
    group: CoordinatedGroup,
    suspect: EndpointProbe,
    options: VerificationOptions,
): Promise<PrimaryEvaluation> {
    const replicas = [...group.probes.values()].filter(probe => probe !== suspect);
    const refreshed = Promise.all([suspect, ...replicas].map(probe => probe.refresh()));
    const otherVerdicts: ProbeVerdict[] = [];

    function evaluate(isComplete: boolean): PrimaryEvaluation {
        const contactAges = replicas.map(replica => {
            const { verdict, status } = replica.observation();
            return verdict === ProbeVerdict.Alive ? status?.primarySilenceMilliseconds : undefined;
        });
        return evaluatePrimary({
            ownVerdict: suspect.observation().verdict,
            otherVerdicts,
            isComplete,
            replicaContactAgesMilliseconds: contactAges,
            majority: group.majority,
            suspectedForMilliseconds: options.suspectedForMilliseconds,
        });
    }

    for await (const verdict of probeIndirectly(suspect.definition, group.dependencies)) {
        otherVerdicts.push(verdict);
        if (evaluate(false) === PrimaryEvaluation.Failed) {
            return PrimaryEvaluation.Failed;
        }
    }
    await refreshed;
    // The replicas' statuses may be outdated: up to the probers' time limit has passed since the first refresh.
    await Promise.all(replicas.map(probe => probe.refresh()));
    return evaluate(true);
}
