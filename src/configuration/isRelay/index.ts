import type { MembershipService } from "../../membership/types/MembershipService.js";
import { PeerState } from "../../membership/types/PeerState.js";
import { rankByRendezvous } from "../../ownership/rankByRendezvous/index.js";
import { configurationConstants } from "../constants.js";

/**
 * Checks whether this gateway is one of the relays of its availability zone, which watch the store for the others.
 *
 * @param membership The gateways known to this one.
 * @returns True for the gateways that rank first in the zone by rendezvous hash, among the live ones and this one.
 *
 * @example
 * if (isRelay(membership)) { startWatch(); }
 */
export function isRelay(membership: MembershipService): boolean {
    const { self } = membership;
    const names = membership.peers()
        .filter(peer => peer.availabilityZone === self.availabilityZone && peer.state === PeerState.Live)
        .map(peer => peer.name);
    const ranked = rankByRendezvous(`configuration/${self.availabilityZone}`, [...new Set([...names, self.name])]);
    return ranked.indexOf(self.name) < configurationConstants.relaysPerZone;
}
