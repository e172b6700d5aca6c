/** Limits of the bytes that callers' connections hold. */
export interface MemoryLimits {
    /** Bytes of all connections. */
    readonly totalBytes: number;
    /** Bytes of accepted commands, or of answers not taken, with which a connection is no longer read. */
    readonly connectionBytes: number;
}
