import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { RecordRemoval } from "../../directory/types/RecordRemoval.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";
import type { StoreVersion } from "../../directory/types/StoreVersion.js";

/** State of the directory that one VM sends to another. The lists are left out when the other VM already has them. */
export interface DirectoryUpdate {
    /** Version of the routing table in force at the sender. */
    readonly routingVersion: number;
    /** Newest version of the platform's store, as to its endpoints, known to the sender. */
    readonly endpointVersion: StoreVersion;
    readonly routingTable?: RoutingTable;
    readonly endpoints?: readonly EndpointRecord[];
    /** Removals of endpoint records; sent together with `endpoints`. */
    readonly removals?: readonly RecordRemoval[];
    /** Age of the data read from the store, in milliseconds; left out while the update may be incomplete. */
    readonly newsAgeMilliseconds?: number;
}
