import type { QuotaGrants } from "../../quotas/types/QuotaGrants.js";
import type { Announcement } from "./Announcement.js";
import type { DirectoryUpdate } from "./DirectoryUpdate.js";
import type { DutyHolder } from "./DutyHolder.js";
import type { VmListUpdate } from "./VmListUpdate.js";

/** Answer to a renewal, from the holder of the failover duty or from a relay. */
export interface RenewalAnswer extends DirectoryUpdate {
    /** Whether the answering VM is the holder, as far as it knows. */
    readonly isHolder: boolean;
    /** Whether no other VM can have become the holder; only then the requesting VM gets a lease. */
    readonly isCertain: boolean;
    /**
     * Time since the answering VM was certain to be the holder or in contact with it, in milliseconds; left out before it
     * ever was.
     */
    readonly holderAgeMilliseconds?: number;
    /** The holder known to the answering VM. */
    readonly holder?: DutyHolder;
    /** Left out when the requesting VM already has this version of the list. */
    readonly vmList?: VmListUpdate;
    readonly announcements: readonly Announcement[];
    /** Left out when the renewal has no demands, or the answering VM may not grant. */
    readonly quotaGrants?: QuotaGrants;
}
