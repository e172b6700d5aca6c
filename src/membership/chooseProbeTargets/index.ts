import { hashText } from "../../hashing/hashText/index.js";
import { mixHashes } from "../../hashing/mixHashes/index.js";
import { membershipConstants } from "../constants.js";
import type { PeerRecord } from "../types/PeerRecord.js";

/**
 * Chooses the members of its own zone that a gateway probes: its successor in each of several hash rings.
 *
 * Every member is probed by about the same number of others, the connections between gateways stay few and stable, and
 * updates reach the whole zone in few hops.
 *
 * @param self Record of this gateway.
 * @param members The other members of its zone.
 * @returns The chosen members, without duplicates.
 *
 * @example
 * const targets = chooseProbeTargets(self, members);
 */
export function chooseProbeTargets(self: PeerRecord, members: readonly PeerRecord[]): readonly PeerRecord[] {
    if (members.length <= membershipConstants.ringCount) {
        return members;
    }
    const ownHash = hashText(self.name);
    const hashes = members.map(member => hashText(member.name));
    const chosen = new Set<PeerRecord>();
    for (let ring = 0; ring < membershipConstants.ringCount; ring += 1) {
        const ownPosition = mixHashes(ownHash, ring);
        let nearestDistance = Infinity;
        let successor: PeerRecord | undefined;
        members.forEach((member, index) => {
            const distance = (mixHashes(hashes[index] as number, ring) - ownPosition) >>> 0;
            if (distance < nearestDistance) {
                nearestDistance = distance;
                successor = member;
            }
        });
        chosen.add(successor as PeerRecord);
    }
    return [...chosen];
}
