import type { Quota } from "../../workspaces/types/Quota.js";
import type { Workspace } from "../../workspaces/types/Workspace.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { FeedUpdate } from "./FeedUpdate.js";
import type { GroupSettings } from "./GroupSettings.js";
import type { RecordRemoval } from "./RecordRemoval.js";
import type { Route } from "./Route.js";
import type { RoutingTable } from "./RoutingTable.js";
import type { StoreVersion } from "./StoreVersion.js";

/** The endpoints and routes that a VM knows. */
export interface Directory {
    /** Applies changes of the endpoints' records. */
    applyEndpoints(update: FeedUpdate<EndpointRecord>): void;
    /** Applies a routing table; returns false and changes nothing unless it is newer than the one in force. */
    applyRoutingTable(table: RoutingTable): boolean;
    /** Version of the routing table in force; 0 before the first. */
    routingVersion(): number;
    /** Newest version of the store that this VM knows of, from an endpoint's record, a removal or a whole list. */
    highestVersion(): StoreVersion;
    routingTable(): RoutingTable | undefined;
    routeOf(database: string): Route | undefined;
    /** The workspace that holds the key with this digest; undefined for an unknown key. */
    workspaceOf(keyDigest: string): Workspace | undefined;
    /** The quota of a workspace, by its name; undefined when it has none. */
    quotaOf(workspace: string): Quota | undefined;
    groupSettings(group: string): GroupSettings | undefined;
    endpoint(id: string): EndpointRecord | undefined;
    /** The endpoints of a group, including leaving ones. */
    endpointsOf(group: string): readonly EndpointRecord[];
    /** Ids of the endpoints of a group that were removed since, in milliseconds, without having left; they may still run. */
    lostEndpointsOf(group: string, sinceMilliseconds: number): readonly string[];
    groups(): readonly string[];
    /** All endpoints' records, to be sent to another VM. */
    records(): readonly EndpointRecord[];
    /** The newest removals of records, to be sent to another VM. */
    removals(): readonly RecordRemoval[];
    /** Calls the listener after each change, with the groups that changed. */
    onChange(listener: (groups: ReadonlySet<string>) => void): void;
}
