import { hashText } from "../../hashing/hashText/index.js";
import { membershipConstants } from "../constants.js";
import type { PeerRecord } from "../types/PeerRecord.js";

/**
 * Chooses the gateways of one zone that exchange probes with other zones; every gateway chooses the same ones.
 *
 * @param members The members of the zone.
 * @returns The bridges.
 *
 * @example
 * const isBridge = chooseBridges(ownZoneMembers).some(member => member.name === self.name);
 */
export function chooseBridges(members: readonly PeerRecord[]): readonly PeerRecord[] {
    return members
        .map(member => ({ member, hash: hashText(member.name) }))
        .sort((left, right) => left.hash - right.hash || (left.member.name < right.member.name ? -1 : 1))
        .slice(0, membershipConstants.bridgesPerZone)
        .map(({ member }) => member);
}
