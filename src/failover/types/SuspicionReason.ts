/** Reasons to suspect an endpoint. */
export enum SuspicionReason {
    ConnectionLost = "ConnectionLost",
    /** Writes are accepted and not confirmed by any replica. */
    NoProgress = "NoProgress",
    Silent = "Silent",
}
