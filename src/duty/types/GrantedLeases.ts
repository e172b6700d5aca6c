import type { VmIdentity } from "./VmIdentity.js";

/** The leases that the holder of the failover duty has granted. */
export interface GrantedLeases {
    /** Begins a new record when this VM becomes the holder; `knowsAllVms` tells whether its list of VMs is complete. */
    startHolding(knowsAllVms: boolean): void;
    /** Records that a VM called this holder, and whether it was granted a lease. */
    recordContact(vm: VmIdentity, isGranted: boolean): void;
    /** Lists those of the other VMs that may have a lease now. */
    listPossibleVms(otherVms: readonly VmIdentity[]): readonly VmIdentity[];
    /** Time after which none of these VMs, nor a VM unknown to this holder, has a lease. */
    endOfLeases(vms: readonly VmIdentity[]): number;
}
