import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
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
    readonly announcements: readonly Announcement[];
}
