import type { QuotaGrant } from "./QuotaGrant.js";

/** Part of the answer to a renewal: the grants that replace all earlier ones of the VM. */
export interface QuotaGrants {
    /** Number of the request that is answered. */
    readonly request: number;
    /** Identifies the record of grants; another holder, or a holder that starts anew, has another one. */
    readonly granter: string;
    /** Grows with each answer of the granter. */
    readonly number: number;
    /** Whether the grants only go on with those that the VM had of a predecessor, and hold only if these have not ended. */
    readonly isContinuation: boolean;
    readonly grants: readonly QuotaGrant[];
}
