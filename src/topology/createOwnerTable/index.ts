import { findEndpoint } from "../../configuration/findEndpoint/index.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { chooseOwners } from "../../ownership/chooseOwners/index.js";
import type { OwnerTable } from "../types/OwnerTable.js";

/**
 * Creates the table of endpoints' owners, computed on first use after each change.
 *
 * @param configuration The endpoints.
 * @param listPeers Lists the gateways that are not dead.
 * @returns The table.
 *
 * @example
 * const owners = createOwnerTable(configuration, () => membership.peers());
 */
export function createOwnerTable(
    configuration: ConfigurationService,
    listPeers: () => readonly PeerRecord[],
): OwnerTable {
    const ownersByEndpoint = new Map<string, readonly PeerRecord[]>();
    configuration.onChange(() => ownersByEndpoint.clear());

    function ownersOf(name: string): readonly PeerRecord[] {
        const cached = ownersByEndpoint.get(name);
        if (cached !== undefined) {
            return cached;
        }
        const endpoint = findEndpoint(configuration.current().content, name);
        if (endpoint === undefined) {
            return [];
        }
        const owners = chooseOwners(endpoint, listPeers());
        ownersByEndpoint.set(name, owners);
        return owners;
    }

    return { ownersOf, clear: () => ownersByEndpoint.clear() };
}
