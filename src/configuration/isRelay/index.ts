import type { MembershipService } from "../../membership/types/MembershipService.js";
import { PeerState } from "../../membership/types/PeerState.js";
import { rankByRendezvous } from "../../ownership/rankByRendezvous/index.js";
import { configurationConstants } from "../constants.js";

/**
 * Tells whether this gateway is among those of its availability zone that watch the store for the others.
 *
 * @param membership Who lives, as far as this gateway knows.
 * @returns True for the first live gateways of the zone by rendezvous hash.
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
