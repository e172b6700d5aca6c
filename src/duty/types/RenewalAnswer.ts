import type { Announcement } from "./Announcement.js";
import type { Knowledge } from "./Knowledge.js";
import type { VmIdentity } from "./VmIdentity.js";

/** What the holder tells a VM. */
export interface RenewalAnswer extends Knowledge {
    /** Whether the VM that was asked is the holder, as far as it knows. */
    readonly isHolder: boolean;
    /** Whether it is sure that no other VM is; only then may the asker rely on its primaries. */
    readonly isCertain: boolean;
    readonly token: number;
    readonly vmListVersion: number;
    /** Left out when the VM knows the list. */
    readonly vms?: readonly VmIdentity[];
    readonly announcements: readonly Announcement[];
}
