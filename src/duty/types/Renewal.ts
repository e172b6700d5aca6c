import type { Knowledge } from "./Knowledge.js";
import type { VmIdentity } from "./VmIdentity.js";

/** What a VM tells the holder. */
export interface Renewal extends Knowledge {
    readonly vm: VmIdentity;
    /** Whether the holder has just answered that VM. */
    readonly hasHeardHolder: boolean;
    /** Version of the list of VMs known there. */
    readonly vmListVersion: number;
    /** Highest announcement known there. */
    readonly announcementSequence: number;
}
