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

/** Index of the gateways that coordinate each database. */
interface CoordinatorIndex {
    /** The coordinator, then its standbys; empty when the database is not configured. */
    coordinatorsOf(database: string): readonly PeerRecord[];
    /** Rank of this gateway among the coordinators of the database, from 0; -1 when it is not among them. */
    ownRank(database: string): number;
    /** Other gateways that may hold terms of the database: its other coordinators and the gateways that are leaving. */
    formerCoordinatorsOf(database: string): readonly PeerRecord[];
    /** Must be called after the peers changed. */
    refreshPeers(): void;
}

/** Cached choice of the coordinators of one database. */
interface CachedChoice {
    readonly primaryLocation: string;
    readonly databaseHash: number;
    readonly chosen: readonly PeerRecord[];
}

/** Key of a gateway by name and address, since a new gateway may take the name of an earlier one. */
function keyOf(peer: PeerRecord): string {
    return `${peer.name} ${peer.host}:${peer.port}`;
}

/** Returns whether a fresh choice could include a gateway that was added to the zone. */
function mayBeChosen(choice: CachedChoice, zone: ZoneGateways, gatewayHash: number): boolean {
    if (zone.gateways.length <= failoverConstants.coordinatorsPerGroup) {
        return true;
    }
    const weight = mixHashes(choice.databaseHash, gatewayHash);
    return choice.chosen.some(peer =>
        peer.availabilityZone === zone.zone && mixHashes(choice.databaseHash, hashText(peer.name)) < weight
    );
}

/**
 * Creates the index of coordinators.
 *
 * The choice for a database is cached, and repeated only when its primary moved or when gateways that affect the choice
 * were added or removed: in a large fleet a gateway joins or leaves every few seconds.
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
    const choices = new Map<string, CachedChoice>();
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
        const primaryLocation = `${primary.region}/${primary.availabilityZone}`;
        let entry = choices.get(database);
        if (entry?.primaryLocation !== primaryLocation) {
            const chosen = chooseCoordinators(database, primary, zones);
            entry = { primaryLocation, databaseHash: hashText(database), chosen };
            choices.set(database, entry);
        }
        return entry.chosen;
    }

    function refreshPeers(): void {
        const before = new Map(zones.map(zone => [zone.zone, new Set(zone.gateways.map(({ peer }) => keyOf(peer)))]));
        zones = groupGatewaysByZone(membership.peers());
        if (zones.length !== before.size || zones.some(zone => !before.has(zone.zone))) {
            choices.clear();
            return;
        }
        const current = new Set(zones.flatMap(zone => zone.gateways.map(({ peer }) => keyOf(peer))));
        const added = zones.flatMap(zone =>
            zone.gateways.filter(({ peer }) => before.get(zone.zone)?.has(keyOf(peer)) !== true)
                .map(({ hash }) => ({ zone, hash }))
        );
        for (const [database, entry] of choices) {
            const hasLost = entry.chosen.some(peer => !current.has(keyOf(peer)));
            if (hasLost || added.some(({ zone, hash }) => mayBeChosen(entry, zone, hash))) {
                choices.delete(database);
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
