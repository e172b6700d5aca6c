/** Kinds of frames on a replication connection. */
export enum ReplicationFrameKind {
    /** The replica sends the term spans of its log and requests to follow. */
    Hello = 1,
    /** The replica sets the age that entries must have before they are sent. */
    Lag = 2,
    /** The primary accepts and sends the last common position of both logs. */
    Start = 3,
    Entries = 4,
    /** The primary is alive and has nothing to send. */
    Heartbeat = 5,
}
