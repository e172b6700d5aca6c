/** Kinds of calls on a connection to an endpoint. */
export enum EndpointCallKind {
    Execute = 1,
    Begin = 2,
    Commit = 3,
    Rollback = 4,
    Reset = 5,
    Ping = 6,
    ReadStatus = 7,
    WatchStatus = 8,
    StopWatching = 9,
    Fence = 10,
    Promote = 11,
    Follow = 12,
    WriteMarker = 13,
    CancelRequestKey = 14,
}
