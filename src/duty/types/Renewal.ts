import type { DirectoryUpdate } from "./DirectoryUpdate.js";
import type { VmIdentity } from "./VmIdentity.js";

/** Request that a VM regularly sends to the holder of the failover duty. */
export interface Renewal extends DirectoryUpdate {
    readonly vm: VmIdentity;
    /** Whether the holder answered the previous renewal of this VM. */
    readonly hasHeardHolder: boolean;
    /** Version of the list of VMs known to the sender. */
    readonly vmListVersion: number;
    /** Highest sequence number of an announcement known to the sender. */
    readonly announcementSequence: number;
}
