import type { AdmissionRequest } from "./AdmissionRequest.js";
import type { AdmissionSlot } from "./AdmissionSlot.js";

/** The slots of one endpoint and the queue of requests that wait for one. */
export interface AdmissionQueue {
    /**
     * Waits for a slot.
     *
     * Fails with `Overloaded` if the queue is full, if it drops the request for a caller with fewer requests, or if the
     * deadline cannot be met, and with `DeadlineExceeded` if the deadline passes while the request waits.
     */
    acquire(request: AdmissionRequest): Promise<AdmissionSlot>;
    /** Rejects all waiting requests with `Stopping`, so that they can be sent to another gateway at once. */
    refuseWaiting(): void;
    /** Number of slots in use. */
    countRunning(): number;
    /** Number of requests in the queue. */
    countWaiting(): number;
}
