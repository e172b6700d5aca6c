import type { Announcement } from "./Announcement.js";
import type { DirectoryUpdate } from "./DirectoryUpdate.js";
import type { VmIdentity } from "./VmIdentity.js";

/** Answer to a renewal, normally sent by the holder of the failover duty. */
export interface RenewalAnswer extends DirectoryUpdate {
    /** Whether the answering VM is the holder, as far as it knows. */
    readonly isHolder: boolean;
    /** Whether no other VM can have become the holder; only then the requesting VM gets a lease. */
    readonly isCertain: boolean;
    readonly token: number;
    readonly vmListVersion: number;
    /** Left out when the requesting VM already has this version of the list. */
    readonly vms?: readonly VmIdentity[];
    readonly announcements: readonly Announcement[];
}
