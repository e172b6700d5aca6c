import type { StoreVersion } from "../../directory/types/StoreVersion.js";
import type { QuotaDemands } from "../../quotas/types/QuotaDemands.js";
import type { DirectoryUpdate } from "./DirectoryUpdate.js";
import type { HolderNumber } from "./HolderNumber.js";
import type { VmIdentity } from "./VmIdentity.js";

/** Request that a VM regularly sends to the holder of the failover duty, or to a relay of its availability zone. */
export interface Renewal extends DirectoryUpdate {
    readonly vm: VmIdentity;
    /** Whether the VM holds connections to endpoints, and so needs a lease and the VMs of all zones. */
    readonly isHost: boolean;
    /** Whether the VM is stopping; it is then no longer listed. */
    readonly isLeaving: boolean;
    /** Whether the holder answered the previous renewal of this VM. */
    readonly hasHeardHolder: boolean;
    /** Version of the list of VMs known to the sender. */
    readonly vmListVersion: HolderNumber;
    /** Sequence number up to which the sender has the newest announcement of each group. */
    readonly announcementSequence: HolderNumber;
    /** The VMs whose renewals the sender answers; left out when the holder already has this list. */
    readonly members?: readonly VmIdentity[];
    /** Version of the store up to which all VMs know the endpoints whose renewals the sender answers; left out without any. */
    readonly membersVersion?: StoreVersion;
    /** What the sender asks of quotas; left out without recent operations of a workspace that has one. */
    readonly quotaDemands?: QuotaDemands;
}
