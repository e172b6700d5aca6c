/** What the VMs together may admit of a workspace beyond its quota, in any window of time. */
export interface QuotaExcess {
    /** Length of the window, in milliseconds. */
    readonly windowMilliseconds: number;
    /** Share of what the quota admits in a window. */
    readonly share: number;
    /** Operations in a window, in addition to the share. */
    readonly operations: number;
}
