/** How many operations a workspace may start, at all VMs together. */
export interface Quota {
    /** Operations per second in the long run. */
    readonly operationsPerSecond: number;
    /** Operations that may be started at once after a pause. */
    readonly burstOperations: number;
}
