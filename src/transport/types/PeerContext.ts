/** Identity of the peer that called a procedure. */
export interface PeerContext {
    readonly peerName: string;
    readonly peerZone: string;
}
