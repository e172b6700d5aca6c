import { z } from "zod";
import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { failoverConstants } from "../constants.js";
import type { FailoverDependencies } from "../types/FailoverDependencies.js";
import type { FailoverRouter } from "../types/FailoverRouter.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";

const answerSchema = z.object({ verdict: z.enum(ProbeVerdict) });

/** Chooses one gateway in the endpoint's zone, then one of each other zone; the own zone only if there is no other. */
function chooseProbers(
    endpoint: EndpointDefinition,
    dependencies: Pick<FailoverDependencies, "membership" | "random">,
): readonly PeerRecord[] {
    const { membership: { self, peers }, random } = dependencies;
    const others = random.shuffle(peers().filter(peer => peer.name !== self.name));
    const distant = others.filter(peer => peer.availabilityZone !== self.availabilityZone);
    const candidates = distant.length > 0 ? distant : others;
    const firstOfZone = new Map([...candidates].reverse().map(peer => [peer.availabilityZone, peer]));
    const chosen = new Set<PeerRecord>();
    const near = firstOfZone.get(endpoint.availabilityZone);
    for (const peer of [...(near === undefined ? [] : [near]), ...firstOfZone.values(), ...candidates]) {
        chosen.add(peer);
    }
    return [...chosen].slice(0, failoverConstants.indirectProbeCount);
}

/**
 * Requests probes of an endpoint from gateways in other availability zones.
 *
 * @param endpoint The endpoint.
 * @param dependencies Membership, peers and randomness.
 * @returns Yields the verdicts in the order of their arrival; `Unknown` for a gateway that did not answer.
 *
 * @example
 * for await (const verdict of probeIndirectly(endpoint, dependencies)) { verdicts.push(verdict); }
 */
export async function* probeIndirectly(
    endpoint: EndpointDefinition,
    dependencies: Pick<FailoverDependencies, "membership" | "random" | "peers">,
): AsyncGenerator<ProbeVerdict> {
    async function requestProbe(prober: PeerRecord): Promise<ProbeVerdict> {
        try {
            const signal = AbortSignal.timeout(failoverConstants.peerCallTimeoutMilliseconds);
            const client = dependencies.peers.clientOf<FailoverRouter>(prober).failover;
            const answer = await client.probeEndpoint.query({ endpoint: endpoint.name }, { signal });
            return answerSchema.parse(answer).verdict;
        }
        catch {
            return ProbeVerdict.Unknown;
        }
    }

    const pending = new Map(
        chooseProbers(endpoint, dependencies).map(prober => [
            prober.name,
            requestProbe(prober).then(verdict => ({ name: prober.name, verdict })),
        ]),
    );
    while (pending.size > 0) {
        const { name, verdict } = await Promise.race(pending.values());
        pending.delete(name);
        yield verdict;
    }
}
