import type { LogPosition } from "./LogPosition.js";

/** Role and replication state that an endpoint reports. */
export interface ReplicaStatus {
    readonly isPrimary: boolean;
    /** Term of the primary that the endpoint is or replicates from. */
    readonly term: number;
    /** Last log position that the endpoint has received. */
    readonly received: LogPosition;
    /** Newest term of a command that paused its replication; 0 while it is not paused. */
    readonly heldTerm: number;
    readonly lagMilliseconds: number;
    readonly busySlots: number;
    readonly connections: number;
}
