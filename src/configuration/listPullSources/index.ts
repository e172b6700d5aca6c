import { PeerState } from "../../membership/types/PeerState.js";
import type { Address } from "../../network/types/Address.js";
import { configurationConstants } from "../constants.js";
import type { ConfigurationDependencies } from "../types/ConfigurationDependencies.js";

/**
 * Yields the gateways to query for missing versions: own availability zone first, then other zones, then seeds.
 *
 * @param dependencies Membership, seeds and source of randomness; gateways are shuffled to spread the load.
 * @returns Addresses of a limited number of gateways.
 *
 * @example
 * for (const address of listPullSources(dependencies)) { await pull(address); }
 */
export function* listPullSources(dependencies: ConfigurationDependencies): Generator<Address> {
    const { membership, random } = dependencies;
    const { self } = membership;
    const live = membership.peers().filter(peer => peer.name !== self.name && peer.state === PeerState.Live);
    const shuffled = random.shuffle(live);
    const sameZone = shuffled.filter(peer => peer.availabilityZone === self.availabilityZone);
    const otherZones = shuffled.filter(peer => peer.availabilityZone !== self.availabilityZone);
    const seen = new Set([`${self.host}:${self.port}`]);
    for (
        const { host, port, availabilityZone } of [
            ...sameZone,
            ...otherZones,
            ...random.shuffle(dependencies.seedGateways),
        ]
    ) {
        const label = `${host}:${port}`;
        if (!seen.has(label)) {
            seen.add(label);
            yield { host, port, availabilityZone };
        }
        if (seen.size > configurationConstants.maximumPeersQueried) {
            return;
        }
    }
}
