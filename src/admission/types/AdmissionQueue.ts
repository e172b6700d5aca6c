import type { AdmissionSlot } from "./AdmissionSlot.js";
import type { AdmissionTicket } from "./AdmissionTicket.js";

/** The slots of one endpoint and the queue before them. */
export interface AdmissionQueue {
    /**
     * Waits for a slot.
     *
     * Fails with `Overloaded` (at once, when the queue is full or the deadline cannot be met) or `DeadlineExceeded`
     * (while waiting).
     */
    enter(ticket: AdmissionTicket): Promise<AdmissionSlot>;
    /** Refuses all waiting tickets with `Stopping`, so that another gateway can take them at once. */
    refuseWaiting(): void;
    /** Slots in use. */
    running(): number;
    /** Tickets waiting. */
    waiting(): number;
}
