import { hashText } from "../../hashing/hashText/index.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import type { ZoneGateways } from "../types/ZoneGateways.js";

/**
 * Groups the gateways that may coordinate by availability zone, with their hashes.
 *
 * Suspected gateways are included: a suspicion is short, and a change of coordinator costs a reservation of terms.
 *
 * @param peers All known gateways.
 * @returns One entry for each zone that has gateways.
 *
 * @example
 * const zones = groupGatewaysByZone(membership.peers());
 */
export function groupGatewaysByZone(peers: readonly PeerRecord[]): readonly ZoneGateways[] {
    const zones = new Map<string, { readonly peer: PeerRecord; readonly hash: number; }[]>();
    for (const peer of peers) {
        if (peer.state === PeerState.Live || peer.state === PeerState.Suspected) {
            const gateways = zones.get(peer.availabilityZone) ?? [];
            gateways.push({ peer, hash: hashText(peer.name) });
            zones.set(peer.availabilityZone, gateways);
        }
    }
    return [...zones].map(([zone, gateways]) => ({
        zone,
        hash: hashText(zone),
        region: gateways[0]?.peer.region ?? "",
        gateways,
    }));
}
