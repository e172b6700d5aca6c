import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { RecordRemoval } from "../../directory/types/RecordRemoval.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";
import type { VmIdentity } from "./VmIdentity.js";

/** What a VM tells the holder. */
export interface Renewal {
    readonly vm: VmIdentity;
    /** Whether the holder has just answered that VM. */
    readonly hasHeardHolder: boolean;
    /** Version of the routing table in force there. */
    readonly routingVersion: number;
    /** Highest revision of an endpoint's record known there. */
    readonly endpointRevision: number;
    /** Version of the list of VMs known there. */
    readonly vmListVersion: number;
    /** Highest announcement known there. */
    readonly announcementSequence: number;
    /** Sent when the holder's is older. */
    readonly routingTable?: RoutingTable;
    /** Sent when the holder's are older. */
    readonly endpoints?: readonly EndpointRecord[];
    /** Records that were removed; sent along with the endpoints. */
    readonly removals?: readonly RecordRemoval[];
    /** Age of what the sender knows of the store, in milliseconds; left out while it may not have sent all of it. */
    readonly newsAgeMilliseconds?: number;
}
