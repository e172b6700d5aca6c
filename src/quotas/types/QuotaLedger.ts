import type { Quota } from "../../workspaces/types/Quota.js";
import type { HeldQuotaGrant } from "./HeldQuotaGrant.js";
import type { QuotaDemand } from "./QuotaDemand.js";
import type { QuotaGrant } from "./QuotaGrant.js";

/** The holder's record of the grants of one workspace. */
export interface QuotaLedger {
    /**
     * Grants a VM its part of the quota.
     *
     * @param vm Key of the VM.
     * @param demand What the VM asks for.
     * @param number Number of the grant.
     * @param quota The quota in force.
     */
    grant(vm: string, demand: QuotaDemand, number: number, quota: Quota): QuotaGrant;
    /** Goes on with a grant that a predecessor made. */
    continueGrant(vm: string, held: HeldQuotaGrant, number: number): void;
    /** Records that a VM follows only the grant with this number, and no other earlier one. */
    confirm(vm: string, appliedNumber: number): void;
    /** Fills the bucket from a time that is earlier than the one given at the creation, in milliseconds. */
    startFilling(at: number): void;
    /** Whether the record holds no more than a new one would. */
    isForgettable(): boolean;
}
