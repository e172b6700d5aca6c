import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";
import { statusConstants } from "../constants.js";
import type { GroupStatus } from "../types/GroupStatus.js";

/** Options of `listGroups`. */
interface ListGroupsOptions {
    readonly configuration: ConfigurationService;
    readonly topology: Pick<TopologyService, "groupOf">;
    /** Name of the reporting gateway. */
    readonly process: string;
    /** Whether the reporting gateway is the group's failover coordinator. */
    readonly isCoordinator: (database: string) => boolean;
}

/**
 * Lists the groups for a gateway's status report: all groups in a small installation, in a large one only those that
 * the gateway coordinates.
 *
 * @param options Configuration, topology, and the check for groups that this gateway coordinates.
 * @returns The groups with a known term.
 *
 * @example
 * const provide = () => ({ groups: listGroups({ configuration, topology, process, isCoordinator }) });
 */
export function listGroups(options: ListGroupsOptions): GroupStatus[] {
    const databases = Object.keys(options.configuration.current().content.databases);
    const isSmall = databases.length <= statusConstants.maximumListedGroups;
    return databases.filter(database => isSmall || options.isCoordinator(database)).flatMap(database => {
        const record = options.topology.groupOf(database);
        if (record === undefined) {
            return [];
        }
        const { term, primary } = record;
        const coordinator = options.isCoordinator(database) ? options.process : undefined;
        return [{ database, term, primary, coordinator }];
    });
}
