/** What has passed on a connection until now. */
export interface ConnectionProgress {
    /** Messages that arrived in full. */
    readonly messageCount: number;
    /** Bytes of a message that was begun; 0 also while the connection is not read. */
    readonly begunBytes: number;
    readonly receivedBytes: number;
    /** Bytes of answers that the peer has not taken. */
    readonly unsentBytes: number;
    readonly takenBytes: number;
}
