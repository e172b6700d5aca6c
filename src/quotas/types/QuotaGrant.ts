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
    /** Whether the workspace asks for more than its quota, at all VMs together. */
    readonly isLimited: boolean;
}
