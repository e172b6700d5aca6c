/** Limits of what callers may hold of an entry. */
export interface EntryLimits {
    /** Connections that are accepted at the same time. */
    readonly connections: number;
    /** Bytes of all request bodies that are arriving or being answered. */
    readonly bodyBytes: number;
    /** Time in which a request has to arrive in full. */
    readonly requestMilliseconds: number;
}
