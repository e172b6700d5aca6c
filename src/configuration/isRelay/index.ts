import { rankByRendezvous } from "../../hashing/rankByRendezvous/index.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
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
    const isCandidate = (peer: PeerRecord): boolean =>
        peer.availabilityZone === self.availabilityZone && peer.state === PeerState.Live;
    const others = membership.peers().filter(peer => isCandidate(peer) && peer.name !== self.name);
    const ranked = rankByRendezvous(`configuration/${self.availabilityZone}`, [...others, self], peer => peer.name);
    return ranked.indexOf(self) < configurationConstants.relaysPerZone;
}
