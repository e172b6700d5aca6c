/** What a process has used at most since it was started. */
export interface ProcessUse {
    /** Resident memory. */
    readonly megabytes: number;
    readonly descriptors: number;
}
