import type { LinkPriority } from "./LinkPriority.js";

/** Limits the bytes that this process sends over the link to one region. */
export interface LinkBudget {
    /**
     * Waits until the bytes may be sent; higher priorities go first.
     *
     * Fails with `Overloaded` if the bytes cannot be sent before the deadline. Control messages never wait.
     */
    reserve(priority: LinkPriority, bytes: number, timeLeftMilliseconds: number): Promise<void>;
    /** Charges further bytes once the actual size of a message is known; a negative number refunds bytes. */
    adjust(bytes: number): void;
    /** Number of bytes that wait to be sent. */
    countWaitingBytes(): number;
}
