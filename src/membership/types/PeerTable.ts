import type { MembershipUpdates } from "./MembershipUpdates.js";
import type { PeerRecord } from "./PeerRecord.js";
import type { PeerState } from "./PeerState.js";
import type { ZoneRecord } from "./ZoneRecord.js";

/** The known gateways and zones. */
export interface PeerTable {
    self(): PeerRecord;
    find(name: string): PeerRecord | undefined;
    /** All records, including those of dead gateways. */
    all(): readonly PeerRecord[];
    /** Gateways that are not dead and whose zone is not lost, including this one. */
    reachable(): readonly PeerRecord[];
    zone(availabilityZone: string): ZoneRecord | undefined;
    /** Applies records that are newer than the known ones; refutes wrong records about this gateway. */
    applyUpdates(updates: MembershipUpdates): void;
    /** Sets the state of another gateway, unless its incarnation is now above that of the record. */
    setPeerState(record: PeerRecord, state: PeerState): void;
    /** Sets the state of this gateway and raises its incarnation. */
    setOwnState(state: PeerState): void;
    setZoneLost(availabilityZone: string, isLost: boolean): void;
    remove(name: string): void;
    /** Time at which the state of the gateway became dead. */
    diedAt(name: string): number | undefined;
    onChange(listener: () => void): () => void;
}
