import type { VmIdentity } from "../../duty/types/VmIdentity.js";

/** Which VMs serve the sessions of a group, and hold connections to its endpoints. */
export interface SessionHosts {
    /** The VM to which a new session is forwarded; undefined when this VM serves it. */
    hostOf(group: string): VmIdentity | undefined;
    /** The other VMs of all zones that hold connections to the group's endpoints. */
    othersOf(group: string): readonly VmIdentity[];
    /** VMs, this one included, that share the connections of the group's endpoints. */
    countOf(group: string): number;
    /** Notes that a VM could not be reached. */
    avoid(vm: VmIdentity): void;
}
