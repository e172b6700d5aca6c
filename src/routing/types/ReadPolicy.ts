/** How an entry chooses the endpoint for a read. */
export enum ReadPolicy {
    PrimaryOnly = "PrimaryOnly",
    /** A replica that is known to have caught up, otherwise the primary. */
    ReplicaIfCaughtUp = "ReplicaIfCaughtUp",
    /** The nearest replica, which may wait for the least position; then the primary. */
    BoundedWait = "BoundedWait",
    /** The replica expected to answer first, if its expected wait is within bounds; then the primary. */
    BoundedWaitWithPrediction = "BoundedWaitWithPrediction",
}
