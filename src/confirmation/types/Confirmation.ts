import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import type { ConfirmationResult } from "./ConfirmationResult.js";

/** Detects which positions a majority of a group holds, from the statuses that its endpoints report. */
export interface Confirmation {
    /** Waits until a majority of the group, the primary of the term included, holds the position in that term. */
    waitUntilConfirmed(
        database: string,
        term: number,
        position: number,
        timeoutMilliseconds: number,
    ): Promise<ConfirmationResult>;
    /**
     * Requests a new status from an endpoint of the group, over the connection of its watch.
     *
     * Fails with `Unreachable` when that connection does not open in time, `ConnectionClosed` or `DeadlineExceeded`.
     */
    readStatus(database: string, endpoint: string): Promise<EndpointStatus>;
    /** The latest status of each endpoint of the group; empty while the group is not watched. */
    statusesOf(database: string): readonly EndpointStatus[];
    start(): Promise<void>;
    stop(): Promise<void>;
}
