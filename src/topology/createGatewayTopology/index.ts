import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { DisseminationService } from "../../dissemination/types/DisseminationService.js";
import { RecordKind } from "../../dissemination/types/RecordKind.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import { createGroupTable } from "../createGroupTable/index.js";
import { createOwnerTable } from "../createOwnerTable/index.js";
import { isGroupRecord } from "../isGroupRecord/index.js";
import type { GatewayTopology } from "../types/GatewayTopology.js";

/**
 * Creates a gateway's view of the fleet from disseminated records, membership and the configuration.
 *
 * @param dissemination Source of group records and leaving endpoints.
 * @param membership The known gateways.
 * @param configuration The databases and their endpoints.
 * @returns The topology service.
 *
 * @example
 * const topology = createGatewayTopology(dissemination, membership, configuration);
 */
export function createGatewayTopology(
    dissemination: DisseminationService,
    membership: MembershipService,
    configuration: ConfigurationService,
): GatewayTopology {
    const groups = createGroupTable();
    const owners = createOwnerTable(configuration, () => membership.peers());
    const viewListeners = new Set<() => void>();
    membership.onChange(() => {
        owners.clear();
        notify();
    });
    groups.onChange(notify);
    dissemination.onRecord(RecordKind.EndpointLeaving, notify);
    dissemination.onRecord(RecordKind.Group, record => {
        if (isGroupRecord(record.value)) {
            groups.applyGroupRecord(record.value);
        }
    });
    for (const record of dissemination.list(RecordKind.Group)) {
        if (isGroupRecord(record.value)) {
            groups.applyGroupRecord(record.value);
        }
    }

    function notify(): void {
        for (const listener of [...viewListeners]) {
            listener();
        }
    }

    function leavingEndpoints(): string[] {
        return dissemination.list(RecordKind.EndpointLeaving)
            .filter(record => record.value === true)
            .map(record => record.key);
    }

    function onViewChange(listener: () => void): () => void {
        viewListeners.add(listener);
        return () => viewListeners.delete(listener);
    }

    return {
        groupOf: groups.groupOf,
        groups: groups.list,
        applyGroupRecord: groups.applyGroupRecord,
        onChange: groups.onChange,
        waitForTerm: groups.waitForTerm,
        ownersOf: owners.ownersOf,
        isLeaving: endpoint => dissemination.get(RecordKind.EndpointLeaving, endpoint)?.value === true,
        leavingEndpoints,
        peers: membership.peers,
        onViewChange,
    };
}
