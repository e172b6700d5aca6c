import type { HolderNumber } from "./HolderNumber.js";
import type { VmIdentity } from "./VmIdentity.js";

/** Changes of the list of VMs, or the whole list. */
export interface VmListUpdate {
    /** Version of the list after the update. */
    readonly version: HolderNumber;
    /** Whether `vms` is the whole list, so that VMs not in it are no longer alive. */
    readonly isSnapshot: boolean;
    readonly vms: readonly VmIdentity[];
    /** Names of VMs that are no longer alive; empty in a snapshot. */
    readonly removedNames: readonly string[];
}
