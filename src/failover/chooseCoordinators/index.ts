import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import { hashText } from "../../hashing/hashText/index.js";
import { mixHashes } from "../../hashing/mixHashes/index.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { failoverConstants } from "../constants.js";
import type { ZoneGateways } from "../types/ZoneGateways.js";

/** Where a primary stands. */
type PrimaryPlace = Pick<EndpointDefinition, "availabilityZone" | "region">;

/** A lower number is preferred: other zones of the region, other regions, the primary's own zone. */
function distanceOf(zone: ZoneGateways, primary: PrimaryPlace): number {
    if (zone.zone === primary.availabilityZone) {
        return 2;
    }
    return zone.region === primary.region ? 0 : 1;
}

/** The gateways of one zone, those with the highest weight first, as many as are needed. */
function heaviest(zone: ZoneGateways, databaseHash: number, count: number): PeerRecord[] {
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
 * Chooses the failover coordinator of a database and those who stand by, by rendezvous hashing.
 *
 * A coordinator stands outside the primary's availability zone where possible, so that a zone's loss does not take
 * both; and in its region, so that its probes don't cross the link between regions. Those who stand by are the next in
 * line if the coordinator is lost, and if its whole zone is.
 *
 * @param database Name of the database.
 * @param primary Where the current primary stands.
 * @param zones The living gateways by zone.
 * @returns The coordinator, then those standing by; a bounded list.
 *
 * @example
 * const [coordinator] = chooseCoordinators("stock", primary, groupGatewaysByZone(membership.peers()));
 */
export function chooseCoordinators(
    database: string,
    primary: PrimaryPlace,
    zones: readonly ZoneGateways[],
): readonly PeerRecord[] {
    const databaseHash = hashText(database);
    const ranked = zones
        .map(zone => ({ zone, distance: distanceOf(zone, primary), weight: mixHashes(databaseHash, zone.hash) }))
        .sort((left, right) => left.distance - right.distance || right.weight - left.weight)
        .slice(0, failoverConstants.coordinatorsPerGroup)
        .map(({ zone }) => heaviest(zone, databaseHash, failoverConstants.coordinatorsPerGroup));
    const [first = [], ...further] = ranked;
    return [...first.slice(0, 2), ...further.flatMap(gateways => gateways.slice(0, 1)), ...first.slice(2)]
        .slice(0, failoverConstants.coordinatorsPerGroup);
}
