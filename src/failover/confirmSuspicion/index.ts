import { judgePrimary } from "../judgePrimary/index.js";
import { probeIndirectly } from "../probeIndirectly/index.js";
import type { CoordinatedGroup } from "../types/CoordinatedGroup.js";
import type { EndpointProbe } from "../types/EndpointProbe.js";
import { PrimaryJudgement } from "../types/PrimaryJudgement.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";

/** Options of `confirmSuspicion`. */
interface ConfirmSuspicionOptions {
    readonly suspectedForMilliseconds: number;
}

/**
 * Gathers evidence about a suspected primary: the own probe, other gateways and the replicas, side by side.
 *
 * @param group The group.
 * @param suspect The probe of the suspected endpoint.
 * @param options How long it has been suspected, in milliseconds.
 * @returns The judgement, as soon as the evidence allows one.
 *
 * @example
 * const judgement = await confirmSuspicion(group, suspect, { suspectedForMilliseconds: 0 });
 */
export async function confirmSuspicion(
    group: CoordinatedGroup,
    suspect: EndpointProbe,
    options: ConfirmSuspicionOptions,
): Promise<PrimaryJudgement> {
    const replicas = [...group.probes.values()].filter(probe => probe !== suspect);
    const refreshed = Promise.all([suspect, ...replicas].map(probe => probe.refresh()));
    const others: ProbeVerdict[] = [];

    function judge(isComplete: boolean): PrimaryJudgement {
        const silences = replicas.map(replica => {
            const { verdict, status } = replica.observation();
            return verdict === ProbeVerdict.Alive ? status?.primarySilenceMilliseconds : undefined;
        });
        return judgePrimary({
            own: suspect.observation().verdict,
            others,
            isComplete,
            replicaSilenceMilliseconds: silences,
            majority: group.majority,
            suspectedForMilliseconds: options.suspectedForMilliseconds,
        });
    }

    for await (const verdict of probeIndirectly(suspect.definition, group.dependencies)) {
        others.push(verdict);
        if (judge(false) === PrimaryJudgement.Failed) {
            return PrimaryJudgement.Failed;
        }
    }
    await refreshed;
    // The probers' time limits have passed since the first look at the replicas.
    await Promise.all(replicas.map(probe => probe.refresh()));
    return judge(true);
}
