import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import { hashText } from "../../hashing/hashText/index.js";
import { mixHashes } from "../../hashing/mixHashes/index.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { failoverConstants } from "../constants.js";
import type { ZoneGateways } from "../types/ZoneGateways.js";

/** Location of a primary. */
type PrimaryLocation = Pick<EndpointDefinition, "availabilityZone" | "region">;

/** A lower number is preferred: other zones of the region, other regions, the primary's own zone. */
function distanceOf(zone: ZoneGateways, primary: PrimaryLocation): number {
    if (zone.zone === primary.availabilityZone) {
        return 2;
    }
    return zone.region === primary.region ? 0 : 1;
}

/** Returns at most `count` gateways of one zone, those with the highest rendezvous weights, highest first. */
function chooseHeaviest(zone: ZoneGateways, databaseHash: number, count: number): PeerRecord[] {
    const chosen: { readonly peer: PeerRecord; readonly weight: number; }[] = [];
    for (const { peer, hash } of zone.gateways) {
        const weight = mixHashes(databaseHash, hash);
        if (chosen.length < count || weight > (chosen.at(-1)?.weight ?? 0)) {
            chosen.push({ peer, weight });
            chosen.sort((left, right) => right.weight - left.weight);
            chosen.length = Math.min(chosen.length, count);
        }
    }
    return chosen.map(({ peer }) => peer);
}

/**
 * Chooses the failover coordinator of a database and its standbys by rendezvous hashing.
 *
 * The coordinator is outside the primary's availability zone where possible, so that the loss of a zone does not stop
 * both, and in the primary's region, so that its probes don't cross the link between regions. The first standby
 * replaces the coordinator if only the coordinator is lost, the next one if its whole zone is lost.
 *
 * @param database Name of the database.
 * @param primary Location of the current primary.
 * @param zones Gateways that may coordinate, by zone.
 * @returns The coordinator, then its standbys; at most `coordinatorsPerGroup` gateways.
 *
 * @example
 * const [coordinator] = chooseCoordinators("stock", primary, groupGatewaysByZone(membership.peers()));
 */
export function chooseCoordinators(
    database: string,
    primary: PrimaryLocation,
    zones: readonly ZoneGateways[],
): readonly PeerRecord[] {
    const databaseHash = hashText(database);
    const ranked = zones
        .map(zone => ({ zone, distance: distanceOf(zone, primary), weight: mixHashes(databaseHash, zone.hash) }))
        .sort((left, right) => left.distance - right.distance || right.weight - left.weight)
        .slice(0, failoverConstants.coordinatorsPerGroup)
        .map(({ zone }) => chooseHeaviest(zone, databaseHash, failoverConstants.coordinatorsPerGroup));
    const [first = [], ...further] = ranked;
    return [...first.slice(0, 2), ...further.flatMap(gateways => gateways.slice(0, 1)), ...first.slice(2)]
        .slice(0, failoverConstants.coordinatorsPerGroup);
}
