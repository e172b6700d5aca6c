import type { PeerState } from "./PeerState.js";

/** A gateway as known to its peers. */
export interface PeerRecord {
    readonly name: string;
    readonly host: string;
    readonly port: number;
    readonly availabilityZone: string;
    readonly region: string;
    readonly state: PeerState;
    /** Raised only by the gateway itself, for example to refute a suspicion; the record with the higher one is kept. */
    readonly incarnation: number;
}
