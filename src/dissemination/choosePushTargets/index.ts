import { hashText } from "../../hashing/hashText/index.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { disseminationConstants } from "../constants.js";

/** Options of `choosePushTargets`. */
interface PushTargetOptions {
    readonly random: RandomSource;
    /** Name of the peer that sent the record; undefined if this process published it. */
    readonly sender?: string;
}

/** Chooses the bridges of a zone, which pass records between zones; every gateway computes the same ones. */
function chooseZoneBridges(zonePeers: readonly PeerRecord[]): readonly PeerRecord[] {
    return zonePeers
        .map(peer => ({ peer, weight: hashText(peer.name) }))
        .sort((left, right) => right.weight - left.weight)
        .slice(0, disseminationConstants.bridgesPerZone)
        .map(({ peer }) => peer);
}

/**
 * Chooses the peers to which a new record is pushed.
 *
 * Every gateway pushes to random peers of its own availability zone. Only the gateway that published the record and
 * the bridges of each zone also push to the bridges of other zones, so that each record crosses the links between zones
 * only a few times.
 *
 * @param self This gateway.
 * @param peers All known gateways.
 * @param options Source of randomness, and the peer that sent the record.
 * @returns The peers to push to, each once.
 *
 * @example
 * for (const peer of choosePushTargets(membership.self, membership.peers(), { random })) { queue(peer, record); }
 */
export function choosePushTargets(
    self: PeerRecord,
    peers: readonly PeerRecord[],
    options: PushTargetOptions,
): readonly PeerRecord[] {
    const otherPeers = peers.filter(peer => peer.state !== PeerState.Dead && peer.name !== self.name);
    const zonePeers = otherPeers.filter(peer => peer.availabilityZone === self.availabilityZone);
    const candidates = options.random.shuffle(zonePeers.filter(peer => peer.name !== options.sender));
    const targets = candidates.slice(0, disseminationConstants.zoneFanOut);
    if (options.sender !== undefined && !chooseZoneBridges([self, ...zonePeers]).includes(self)) {
        return targets;
    }
    const otherZones = new Set(otherPeers.map(peer => peer.availabilityZone));
    otherZones.delete(self.availabilityZone);
    for (const zone of otherZones) {
        const bridges = chooseZoneBridges(otherPeers.filter(peer => peer.availabilityZone === zone));
        targets.push(...bridges.filter(peer => peer.name !== options.sender));
    }
    return targets;
}
