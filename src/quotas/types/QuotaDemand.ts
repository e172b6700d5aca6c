import type { HeldQuotaGrant } from "./HeldQuotaGrant.js";

/** What a VM asks of the quota of one workspace. */
export interface QuotaDemand {
    /** Name of the workspace. */
    readonly workspace: string;
    /** Operations asked for per second, smoothed, with those that were refused. */
    readonly operationsPerSecond: number;
    /** Operations that wait for a grant. */
    readonly waitingOperations: number;
    /** Operations that the VM may start at once. */
    readonly heldOperations: number;
    /** The grant that the VM follows; left out when it has ended or grants are not reported. */
    readonly grant?: HeldQuotaGrant;
}
