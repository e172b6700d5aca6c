/** Why a caller's connection was refused or closed by this process. */
export enum ConnectionLoss {
    /** No descriptor was left. */
    Refused = "Refused",
    /** It gave its place to another one before it opened a session. */
    Unopened = "Unopened",
    /** It gave its place to another one while its session was idle. */
    Idle = "Idle",
    /** It stopped half-way through a message, or did not take its answers. */
    Stalled = "Stalled",
}
