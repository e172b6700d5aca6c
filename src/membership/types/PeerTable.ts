import type { MembershipUpdates } from "./MembershipUpdates.js";
import type { PeerRecord } from "./PeerRecord.js";
import type { PeerState } from "./PeerState.js";
import type { ZoneRecord } from "./ZoneRecord.js";

/** What is known of all gateways and zones. */
export interface PeerTable {
    self(): PeerRecord;
    find(name: string): PeerRecord | undefined;
    /** All records, dead ones included. */
    all(): readonly PeerRecord[];
    /** Gateways that are not dead and whose zone is not lost, itself included. */
    reachable(): readonly PeerRecord[];
    zone(availabilityZone: string): ZoneRecord | undefined;
    /** Takes in records that are newer than what is known; refutes what is wrong about itself. */
    learn(updates: MembershipUpdates): void;
    /** Changes the state of another gateway at its known incarnation, unless it was raised since. */
    mark(record: PeerRecord, state: PeerState): void;
    /** Raises the own incarnation and sets the own state. */
    announceSelf(state: PeerState): void;
    markZone(availabilityZone: string, isLost: boolean): void;
    forget(name: string): void;
    /** Time at which the record became dead. */
    diedAt(name: string): number | undefined;
    onChange(listener: () => void): () => void;
}
