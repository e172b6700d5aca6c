/** Kinds of frames on a connection between two processes; a frame is an array that starts with its kind. */
export enum FrameKind {
    Challenge = 0,
    Hello = 1,
    Welcome = 2,
    Reject = 3,
    Call = 4,
    Result = 5,
    Failure = 6,
    Item = 7,
    Done = 8,
    Cancel = 9,
    Ping = 10,
    Pong = 11,
}
