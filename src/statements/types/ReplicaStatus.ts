import type { LogPosition } from "./LogPosition.js";

/** What an endpoint says of its place in its group. */
export interface ReplicaStatus {
    readonly isPrimary: boolean;
    /** Term of the primary that it is or follows. */
    readonly term: number;
    /** Last position that it has received. */
    readonly received: LogPosition;
    /** Newest term that it was shown by a pause; 0 while it is not paused. */
    readonly heldTerm: number;
    readonly lagMilliseconds: number;
    readonly busySlots: number;
    readonly connections: number;
}
