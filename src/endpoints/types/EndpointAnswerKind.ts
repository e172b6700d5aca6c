/** Kinds of frames that an endpoint sends. */
export enum EndpointAnswerKind {
    /** The connection is open; the first frame of each connection. */
    Welcome = 1,
    /** The connection limit is reached; the endpoint closes the connection after this frame. */
    ConnectionLimit = 2,
    Answer = 3,
    /** The call failed with a typed error and did not run. */
    Failure = 4,
}
