import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import { ownershipConstants } from "../constants.js";
import { rankByRendezvous } from "../rankByRendezvous/index.js";

/**
 * Chooses the gateways that may hold connections to an endpoint, best first.
 *
 * Gateways of the endpoint's availability zone come first, then those of its region, then all others; within each,
 * suspected gateways follow live ones. Leaving gateways come last, dead ones not at all.
 *
 * @param endpoint The endpoint.
 * @param peers The gateways known to this process, in any order.
 * @returns The owner, then its standbys; at most `ownersPerEndpoint` gateways.
 *
 * @example
 * const [owner] = chooseOwners(endpoint, membership.peers());
 */
export function chooseOwners(endpoint: EndpointDefinition, peers: readonly PeerRecord[]): readonly PeerRecord[] {
    const peersByClass = new Map<number, Map<string, PeerRecord>>();
    for (const peer of peers) {
        if (peer.state !== PeerState.Dead) {
            const preference = preferenceOf(endpoint, peer);
            const members = peersByClass.get(preference) ?? new Map<string, PeerRecord>();
            peersByClass.set(preference, members.set(peer.name, peer));
        }
    }
    const owners: PeerRecord[] = [];
    for (const preference of [...peersByClass.keys()].sort((left, right) => left - right)) {
        if (owners.length < ownershipConstants.ownersPerEndpoint) {
            const members = peersByClass.get(preference)!;
            owners.push(...rankByRendezvous(endpoint.name, [...members.keys()]).map(name => members.get(name)!));
        }
    }
    return owners.slice(0, ownershipConstants.ownersPerEndpoint);
}

/** Rank of a gateway by distance and state; a lower number is preferred. */
function preferenceOf(endpoint: EndpointDefinition, peer: PeerRecord): number {
    const distance = peer.availabilityZone === endpoint.availabilityZone ? 0 : peer.region === endpoint.region ? 1 : 2;
    const penalty = peer.state === PeerState.Leaving ? 6 : peer.state === PeerState.Suspected ? 1 : 0;
    return 2 * distance + penalty;
}
