import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { RecordRemoval } from "../../directory/types/RecordRemoval.js";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";
import type { Announcement } from "./Announcement.js";
import type { VmIdentity } from "./VmIdentity.js";

/** What the holder tells a VM; each list is left out when the VM knows it. */
export interface RenewalAnswer {
    /** Whether the VM that was asked is the holder, as far as it knows. */
    readonly isHolder: boolean;
    /** Whether it is sure that no other VM is; only then may the asker rely on its primaries. */
    readonly isCertain: boolean;
    readonly token: number;
    readonly routingVersion: number;
    readonly endpointRevision: number;
    readonly vmListVersion: number;
    readonly vms?: readonly VmIdentity[];
    readonly routingTable?: RoutingTable;
    readonly endpoints?: readonly EndpointRecord[];
    /** Records that were removed; sent along with the endpoints. */
    readonly removals?: readonly RecordRemoval[];
    /** Age of what the sender knows of the store, in milliseconds; left out while it may not have sent all of it. */
    readonly newsAgeMilliseconds?: number;
    readonly announcements: readonly Announcement[];
}
