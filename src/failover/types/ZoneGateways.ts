import type { PeerRecord } from "../../membership/types/PeerRecord.js";

/** The gateways of one availability zone, prepared for rendezvous hashing. */
export interface ZoneGateways {
    readonly zone: string;
    readonly hash: number;
    readonly region: string;
    readonly gateways: readonly { readonly peer: PeerRecord; readonly hash: number; }[];
}
