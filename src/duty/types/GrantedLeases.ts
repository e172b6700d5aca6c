import type { Predecessor } from "./Predecessor.js";
import type { VmIdentity } from "./VmIdentity.js";

/** The leases that the holder of the failover duty has granted. */
export interface GrantedLeases {
    /**
     * Begins a new record when this VM replaces another holder, or an earlier process of itself; no lease may be granted
     * yet.
     */
    startHolding(predecessor: Predecessor): void;
    /** Allows leases, once every order of the previous holder has taken effect: the primary of each group is known. */
    startGranting(): void;
    /** Whether leases may be granted. */
    isGranting(): boolean;
    /** Records that a VM called this holder, and whether it was granted a lease. */
    recordContact(vm: VmIdentity, isGranted: boolean): void;
    /** Lists those of the other VMs that may have a lease now. */
    listPossibleVms(otherVms: readonly VmIdentity[]): readonly VmIdentity[];
    /** Time after which every order of the previous holder has taken effect. */
    endOfFormerOrders(): number;
    /** Time after which none of these VMs has a lease, and nothing that the previous holder did takes effect. */
    endOfLeases(vms: readonly VmIdentity[]): number;
}
