/** Memory of a machine, and what callers may hold of it. */
export interface MachineMemory {
    /** Limit of the process's memory. */
    readonly megabytes: number;
    /** Callers' share of what the program does not need itself. */
    readonly callerShare: number;
    /** Bytes with which one connection is no longer read. */
    readonly connectionBytes: number;
}
