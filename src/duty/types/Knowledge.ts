import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { RecordRemoval } from "../../directory/types/RecordRemoval.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";

/** What one VM tells another of the world; the lists are left out when the other knows them. */
export interface Knowledge {
    /** Version of the routing table in force at the sender. */
    readonly routingVersion: number;
    /** Highest revision of an endpoint's record, or of its removal, known to the sender. */
    readonly endpointRevision: number;
    readonly routingTable?: RoutingTable;
    readonly endpoints?: readonly EndpointRecord[];
    /** Records that were removed; sent along with the endpoints. */
    readonly removals?: readonly RecordRemoval[];
    /** Age of what the sender knows of the store, in milliseconds; left out while it may not have sent all of it. */
    readonly newsAgeMilliseconds?: number;
}
