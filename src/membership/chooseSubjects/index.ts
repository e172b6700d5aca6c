import { hashText } from "../../hashing/hashText/index.js";
import { mixHashes } from "../../hashing/mixHashes/index.js";
import { membershipConstants } from "../constants.js";
import type { PeerRecord } from "../types/PeerRecord.js";

/**
 * Chooses the members of its own zone that a gateway probes: its successor in each of several hashed rings.
 *
 * Everybody is probed by as many others, the connections between gateways stay few and the same, and the rings
 * together let updates reach the whole zone in few steps.
 *
 * @param self The own record.
 * @param members The other members of its zone.
 * @returns The chosen members, each once.
 *
 * @example
 * const subjects = chooseSubjects(self, members);
 */
export function chooseSubjects(self: PeerRecord, members: readonly PeerRecord[]): readonly PeerRecord[] {
    if (members.length <= membershipConstants.rings) {
        return members;
    }
    const ownHash = hashText(self.name);
    const hashes = members.map(member => hashText(member.name));
    const chosen = new Set<PeerRecord>();
    for (let ring = 0; ring < membershipConstants.rings; ring += 1) {
        const ownPlace = mixHashes(ownHash, ring);
        let nearest = Infinity;
        let successor: PeerRecord | undefined;
        members.forEach((member, index) => {
            const distance = (mixHashes(hashes[index] as number, ring) - ownPlace) >>> 0;
            if (distance < nearest) {
                nearest = distance;
                successor = member;
            }
        });
        chosen.add(successor as PeerRecord);
    }
    return [...chosen];
}
