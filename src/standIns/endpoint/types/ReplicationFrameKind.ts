/** Kinds of frames on a replication connection. */
export enum ReplicationFrameKind {
    /** A replica presents its log and asks to follow. */
    Hello = 1,
    /** The replica sets the age that entries must have before they are shipped. */
    Lag = 2,
    /** The primary accepts and tells what both logs hold. */
    Start = 3,
    Entries = 4,
    /** The primary is alive and has nothing to ship. */
    Heartbeat = 5,
}
