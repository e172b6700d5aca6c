/** The peer that called a procedure. */
export interface PeerContext {
    readonly peerName: string;
    readonly peerZone: string;
    /** Aborted when the connection over which the peer called has ended. */
    readonly connectionEnd: AbortSignal;
}
