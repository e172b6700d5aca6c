/** Limits of the bytes that callers' connections hold. */
export interface MemoryLimits {
    /** Bytes of all connections. */
    readonly totalBytes: number;
    /** Bytes of accepted commands, or of answers not taken, with which a connection is no longer read. */
    readonly connectionBytes: number;
    /** Bytes that all sessions may keep from statement to statement. */
    readonly stateBytes: number;
    /** Bytes that one session may keep from statement to statement. */
    readonly sessionBytes: number;
    /** Bytes that an endpoint may answer to one exchange. */
    readonly answerBytes: number;
}
