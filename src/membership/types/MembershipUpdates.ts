import type { PeerRecord } from "./PeerRecord.js";
import type { ZoneRecord } from "./ZoneRecord.js";

/** Updates that are sent with probes and their answers. */
export interface MembershipUpdates {
    readonly peers: readonly PeerRecord[];
    /** Empty in messages between zones. */
    readonly zones: readonly ZoneRecord[];
}
