import { PeerState } from "../../membership/types/PeerState.js";
import type { Address } from "../../network/types/Address.js";
import { configurationConstants } from "../constants.js";
import type { ConfigurationParts } from "../types/ConfigurationParts.js";

/**
 * Yields the gateways to ask for missing versions: own availability zone first, then others, then seeds.
 *
 * @param parts Membership, seeds and randomness; the order within a zone is random, to spread the load.
 * @returns Addresses, limited in number.
 *
 * @example
 * for (const address of listSources(parts)) { await pull(address); }
 */
export function* listSources(parts: ConfigurationParts): Generator<Address> {
    const { membership, random } = parts;
    const { self } = membership;
    const live = membership.peers().filter(peer => peer.name !== self.name && peer.state === PeerState.Live);
    const shuffled = random.shuffle(live);
    const near = shuffled.filter(peer => peer.availabilityZone === self.availabilityZone);
    const far = shuffled.filter(peer => peer.availabilityZone !== self.availabilityZone);
    const asked = new Set([`${self.host}:${self.port}`]);
    for (const { host, port, availabilityZone } of [...near, ...far, ...random.shuffle(parts.seedGateways)]) {
        const label = `${host}:${port}`;
        if (!asked.has(label)) {
            asked.add(label);
            yield { host, port, availabilityZone };
        }
        if (asked.size > configurationConstants.maximumPeersAsked) {
            return;
        }
    }
}
