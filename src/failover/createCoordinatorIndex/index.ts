import { RecordKind } from "../../dissemination/types/RecordKind.js";
import { hashText } from "../../hashing/hashText/index.js";
import { mixHashes } from "../../hashing/mixHashes/index.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import { isGroupRecord } from "../../topology/isGroupRecord/index.js";
import { chooseCoordinators } from "../chooseCoordinators/index.js";
import { failoverConstants } from "../constants.js";
import { groupGatewaysByZone } from "../groupGatewaysByZone/index.js";
import type { FailoverDependencies } from "../types/FailoverDependencies.js";
import type { ZoneGateways } from "../types/ZoneGateways.js";

/** Says which gateways coordinate which database. */
interface CoordinatorIndex {
    /** The coordinator, then those standing by; empty when the database is not configured. */
    coordinatorsOf(database: string): readonly PeerRecord[];
    /** Place of this gateway among the coordinators of the database, from 0; -1 when it is none of them. */
    ownRank(database: string): number;
    /** Other gateways that may hold terms of the database: those standing by and those that are leaving. */
    formerCoordinatorsOf(database: string): readonly PeerRecord[];
    /** To be called after the peers changed. */
    refreshPeers(): void;
}

/** The remembered coordinators of one database. */
interface RememberedCoordinators {
    readonly primaryPlace: string;
    readonly databaseHash: number;
    readonly chosen: readonly PeerRecord[];
}

/** Tells a gateway from one that took its name at another address. */
function keyOf(peer: PeerRecord): string {
    return `${peer.name} ${peer.host}:${peer.port}`;
}

/** Whether a new gateway of a zone may belong to the chosen ones. */
function mayBelong(remembered: RememberedCoordinators, zone: ZoneGateways, gatewayHash: number): boolean {
    if (zone.gateways.length <= failoverConstants.coordinatorsPerGroup) {
        return true;
    }
    const weight = mixHashes(remembered.databaseHash, gatewayHash);
    return remembered.chosen.some(peer =>
        peer.availabilityZone === zone.zone && mixHashes(remembered.databaseHash, hashText(peer.name)) < weight
    );
}

/**
 * Creates the index of coordinators.
 *
 * The choice for a database is remembered, and made anew only when its primary moved or when gateways came or went
 * that it depends on: in a large fleet a gateway comes or goes every few seconds.
 *
 * @param dependencies Membership, configuration and the group records.
 * @returns The index.
 *
 * @example
 * const isCoordinator = index.ownRank("stock") === 0;
 */
export function createCoordinatorIndex(
    dependencies: Pick<FailoverDependencies, "membership" | "configuration" | "dissemination">,
): CoordinatorIndex {
    const { membership, configuration, dissemination } = dependencies;
    const remembered = new Map<string, RememberedCoordinators>();
    const recordedPrimaries = new Map<string, { readonly stamp: number; readonly primary: string; }>();
    let zones = groupGatewaysByZone(membership.peers());

    function findRecordedPrimary(database: string): string | undefined {
        const record = dissemination.get(RecordKind.Group, database);
        if (record === undefined) {
            return undefined;
        }
        if (recordedPrimaries.get(database)?.stamp !== record.stamp && isGroupRecord(record.value)) {
            recordedPrimaries.set(database, { stamp: record.stamp, primary: record.value.primary });
        }
        return recordedPrimaries.get(database)?.primary;
    }

    function coordinatorsOf(database: string): readonly PeerRecord[] {
        const definition = configuration.current().content.databases[database];
        const primary = definition?.endpoints[findRecordedPrimary(database) ?? definition.initialPrimary]
            ?? definition?.endpoints[definition.initialPrimary];
        if (primary === undefined) {
            return [];
        }
        const primaryPlace = `${primary.region}/${primary.availabilityZone}`;
        let entry = remembered.get(database);
        if (entry?.primaryPlace !== primaryPlace) {
            const chosen = chooseCoordinators(database, primary, zones);
            entry = { primaryPlace, databaseHash: hashText(database), chosen };
            remembered.set(database, entry);
        }
        return entry.chosen;
    }

    function refreshPeers(): void {
        const before = new Map(zones.map(zone => [zone.zone, new Set(zone.gateways.map(({ peer }) => keyOf(peer)))]));
        zones = groupGatewaysByZone(membership.peers());
        if (zones.length !== before.size || zones.some(zone => !before.has(zone.zone))) {
            remembered.clear();
            return;
        }
        const current = new Set(zones.flatMap(zone => zone.gateways.map(({ peer }) => keyOf(peer))));
        const added = zones.flatMap(zone =>
            zone.gateways.filter(({ peer }) => before.get(zone.zone)?.has(keyOf(peer)) !== true)
                .map(({ hash }) => ({ zone, hash }))
        );
        for (const [database, entry] of remembered) {
            const hasLost = entry.chosen.some(peer => !current.has(keyOf(peer)));
            if (hasLost || added.some(({ zone, hash }) => mayBelong(entry, zone, hash))) {
                remembered.delete(database);
            }
        }
    }

    function formerCoordinatorsOf(database: string): readonly PeerRecord[] {
        const leaving = membership.peers().filter(peer => peer.state === PeerState.Leaving);
        return [...coordinatorsOf(database), ...leaving].filter(peer => peer.name !== membership.self.name);
    }

    return {
        coordinatorsOf,
        ownRank: database => coordinatorsOf(database).findIndex(peer => peer.name === membership.self.name),
        formerCoordinatorsOf,
        refreshPeers,
    };
}
