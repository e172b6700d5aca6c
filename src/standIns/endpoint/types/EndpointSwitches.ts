/** Faults and conditions that the administrator of an endpoint stand-in can set. */
export interface EndpointSwitches {
    /** Every connection is closed and refused; the log is kept. */
    isKilled: boolean;
    /** Connections stay but nothing is answered and nothing runs. */
    isFrozen: boolean;
    /** Replication from and to the other endpoints is cut. */
    isCutFromPeers: boolean;
    isLeaving: boolean;
    /** Age that an entry must have before the primary ships it to this replica. */
    replicationLagMilliseconds: number;
    serviceMilliseconds: number;
}
