import type { LinkPriority } from "./LinkPriority.js";

/** The bytes that this process may still send over the link to one region. */
export interface LinkBudget {
    /**
     * Waits until the bytes may be sent; more urgent ones go first.
     *
     * Fails with `Overloaded` when they could not be sent before the deadline. Control is never made to wait.
     */
    take(priority: LinkPriority, bytes: number, timeLeftMilliseconds: number): Promise<void>;
    /** Corrects the budget once the true size is known; a negative number gives bytes back. */
    adjust(bytes: number): void;
    /** Bytes that wait to be sent. */
    waitingBytes(): number;
}
