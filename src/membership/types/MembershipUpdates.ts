import type { PeerRecord } from "./PeerRecord.js";
import type { ZoneRecord } from "./ZoneRecord.js";

/** What rides on probes and their answers. */
export interface MembershipUpdates {
    readonly peers: readonly PeerRecord[];
    /** Left out between zones. */
    readonly zones: readonly ZoneRecord[];
}
