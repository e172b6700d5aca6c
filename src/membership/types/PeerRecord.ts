import type { PeerState } from "./PeerState.js";

/** A gateway known to its peers. */
export interface PeerRecord {
    readonly name: string;
    readonly host: string;
    readonly port: number;
    readonly availabilityZone: string;
    readonly region: string;
    readonly state: PeerState;
    /** Raised by the gateway itself to refute a suspicion; a higher one replaces a lower one. */
    readonly incarnation: number;
}
