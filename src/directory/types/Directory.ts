import type { EndpointRecord } from "./EndpointRecord.js";
import type { FeedUpdate } from "./FeedUpdate.js";
import type { GroupSettings } from "./GroupSettings.js";
import type { RecordRemoval } from "./RecordRemoval.js";
import type { Route } from "./Route.js";
import type { RoutingTable } from "./RoutingTable.js";

/** What a VM knows of endpoints and routes. */
export interface Directory {
    /** Takes in news of the endpoints' records. */
    applyEndpoints(update: FeedUpdate<EndpointRecord>): void;
    /** Takes in a routing table; one that is not newer than the one in force changes nothing. */
    applyRoutingTable(table: RoutingTable): boolean;
    /** The version in force; 0 before the first. */
    version(): number;
    /** Highest revision of an endpoint's record, or of its removal, that was seen. */
    revision(): number;
    routingTable(): RoutingTable | undefined;
    routeOf(database: string): Route | undefined;
    groupSettings(group: string): GroupSettings | undefined;
    endpoint(id: string): EndpointRecord | undefined;
    /** The endpoints of a group, those that leave included. */
    endpointsOf(group: string): readonly EndpointRecord[];
    groups(): readonly string[];
    /** All endpoints' records, to be passed on to another VM. */
    records(): readonly EndpointRecord[];
    /** The records that were removed last, to be passed on likewise. */
    removals(): readonly RecordRemoval[];
    /** Calls the listener after each change, with the groups that changed. */
    onChange(listener: (groups: ReadonlySet<string>) => void): void;
}
