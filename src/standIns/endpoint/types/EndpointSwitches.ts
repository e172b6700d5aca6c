/** Faults and conditions of an endpoint stand-in, set through its admin interface. */
export interface EndpointSwitches {
    /** All connections are closed and new ones are refused; the log is kept. */
    isKilled: boolean;
    /** Connections stay open, but no call runs and none is answered. */
    isFrozen: boolean;
    /** Replication from and to the other endpoints is cut. */
    isCutFromPeers: boolean;
    isLeaving: boolean;
    /** Age that an entry must have before the primary sends it to this replica. */
    replicationLagMilliseconds: number;
    serviceMilliseconds: number;
}
