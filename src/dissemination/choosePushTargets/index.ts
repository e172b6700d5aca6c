import { hashText } from "../../hashing/hashText/index.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { disseminationConstants } from "../constants.js";

/** Options of `choosePushTargets`. */
interface PushTargetOptions {
    readonly random: RandomSource;
    /** Name of the peer that the record came from; undefined when this process is its origin. */
    readonly sender?: string;
}

/** The few gateways of a zone that pass records between zones; every peer computes the same ones. */
function bridgesOf(zonePeers: readonly PeerRecord[]): readonly PeerRecord[] {
    return zonePeers
        .map(peer => ({ peer, weight: hashText(peer.name) }))
        .sort((left, right) => right.weight - left.weight)
        .slice(0, disseminationConstants.bridgesPerZone)
        .map(({ peer }) => peer);
}

/**
 * Chooses the peers to which a new record is pushed.
 *
 * A few random peers of the own availability zone always; a few bridge gateways of each other zone only from the
 * record's origin and from the bridges, so that the links between zones carry each record a few times.
 *
 * @param self This gateway.
 * @param peers All known gateways.
 * @param options Source of randomness and the peer that the record came from.
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
    const living = peers.filter(peer => peer.state !== PeerState.Dead && peer.name !== self.name);
    const zonePeers = living.filter(peer => peer.availabilityZone === self.availabilityZone);
    const wanted = options.random.shuffle(zonePeers.filter(peer => peer.name !== options.sender));
    const targets = wanted.slice(0, disseminationConstants.zoneFanOut);
    if (options.sender !== undefined && !bridgesOf([self, ...zonePeers]).includes(self)) {
        return targets;
    }
    const otherZones = new Set(living.map(peer => peer.availabilityZone));
    otherZones.delete(self.availabilityZone);
    for (const zone of otherZones) {
        const bridges = bridgesOf(living.filter(peer => peer.availabilityZone === zone));
        targets.push(...bridges.filter(peer => peer.name !== options.sender));
    }
    return targets;
}
