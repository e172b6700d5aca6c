import type { LogPosition } from "../../statements/types/LogPosition.js";

/** State of an endpoint in a simulation. */
export interface SimulatedEndpoint {
    readonly id: string;
    readonly group: string;
    readonly availabilityZone: string;
    isRunning: boolean;
    /** When the endpoint started last; a connection of an earlier start is closed. */
    startedAt: number;
    /** Whether the endpoint sees itself as the primary. */
    isPrimary: boolean;
    isLeaving: boolean;
    term: number;
    /** End of the endpoint's log. */
    position: LogPosition;
    /** Term of the order that paused its replication; 0 while it is not paused. */
    heldTerm: number;
    /** Since when a superseded primary reaches its successor; undefined while it does not. */
    reachesSuccessorSince?: number;
    /** What the endpoint reported last; undefined after a silence. */
    reported?: string | undefined;
    /** Start of the process that reported last. */
    reportedStart?: number;
    /** Number of the last report; counted anew after a start. */
    reportNumber: number;
    /** When the store last received a report of the endpoint. */
    reportedAt: number;
}
