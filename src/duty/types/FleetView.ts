import type { VmIdentity } from "./VmIdentity.js";

/** A VM's view of the fleet. The arrays are the same as long as the list of VMs does not change. */
export interface FleetView {
    /** The other VMs that are known to be alive. */
    otherVms(): readonly VmIdentity[];
    /** The VMs of all zones that hold connections to endpoints; with this VM if it does. */
    hostVms(): readonly VmIdentity[];
    /** The VMs of this VM's zone that answer its renewals in place of the holder; the preferred one first. */
    relays(): readonly VmIdentity[];
    /** Whether this VM holds connections to endpoints. */
    isHost(): boolean;
}
