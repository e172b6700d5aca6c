import type { Quota } from "../../workspaces/types/Quota.js";

/** Part of the quota of one workspace that the holder gives to a VM, until the grant ends. */
export interface QuotaGrant {
    /** Name of the workspace. */
    readonly workspace: string;
    /** Operations that the VM may start at once, in addition to those that it holds. */
    readonly operations: number;
    /** Operations per second that become available to the VM. */
    readonly operationsPerSecond: number;
    /** Operations that the VM may hold at most. */
    readonly maximumOperations: number;
    /** The quota that the grant is a part of. */
    readonly quota: Quota;
    /** Whether the VM asks for more than it can get, so that nothing is gained by waiting. */
    readonly isLimited: boolean;
}
