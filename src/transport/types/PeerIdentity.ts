/** Identity with which this process authenticates itself to its peers. */
export interface PeerIdentity {
    readonly name: string;
    readonly availabilityZone: string;
    /** Shared by all processes of one installation. */
    readonly peerSecret: string;
}
