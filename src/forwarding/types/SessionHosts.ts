import type { VmIdentity } from "../../duty/types/VmIdentity.js";

/** The VMs that serve the sessions of each group and hold connections to its endpoints. */
export interface SessionHosts {
    /**
     * Chooses the VM to which a new session is forwarded; undefined when this VM serves it. The sessions of a workspace
     * have one host in a region as long as that is reachable.
     */
    hostOf(group: string, workspace?: string): VmIdentity | undefined;
    /** The other VMs of all zones that hold connections to the group's endpoints. */
    otherHostsOf(group: string): readonly VmIdentity[];
    /** Number of VMs, this one included, that share the connections of the group's endpoints. */
    hostCountOf(group: string): number;
    /** Whether this VM holds connections to the group's endpoints; false before it knows the other VMs. */
    isHostOf(group: string): boolean;
    /** Records that a VM was unreachable; it gets no new session for a while. */
    avoid(vm: VmIdentity): void;
}
