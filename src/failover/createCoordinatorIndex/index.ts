import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import { RecordKind } from "../../dissemination/types/RecordKind.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import { isGroupRecord } from "../../topology/isGroupRecord/index.js";
import { chooseCoordinators } from "../chooseCoordinators/index.js";
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
    forgetPeers(): void;
}

/**
 * Creates the index of coordinators.
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
    let zones: readonly ZoneGateways[] | undefined;

    function findPrimary(database: string): Omit<EndpointDefinition, "name"> | undefined {
        const definition = configuration.current().content.databases[database];
        const record = dissemination.get(RecordKind.Group, database)?.value;
        const recorded = isGroupRecord(record) ? definition?.endpoints[record.primary] : undefined;
        return recorded ?? definition?.endpoints[definition.initialPrimary];
    }

    function coordinatorsOf(database: string): readonly PeerRecord[] {
        zones ??= groupGatewaysByZone(membership.peers());
        const primary = findPrimary(database);
        return primary === undefined ? [] : chooseCoordinators(database, primary, zones);
    }

    function formerCoordinatorsOf(database: string): readonly PeerRecord[] {
        const leaving = membership.peers().filter(peer => peer.state === PeerState.Leaving);
        return [...coordinatorsOf(database), ...leaving].filter(peer => peer.name !== membership.self.name);
    }

    return {
        coordinatorsOf,
        ownRank: database => coordinatorsOf(database).findIndex(peer => peer.name === membership.self.name),
        formerCoordinatorsOf,
        forgetPeers: () => {
            zones = undefined;
        },
    };
}
