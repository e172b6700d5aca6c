import type { AdmissionQueue } from "./AdmissionQueue.js";

/** Admission queues of this gateway, one for each endpoint. */
export interface Admission {
    /** Rejects all waiting requests with `Stopping`, so that they can be sent to another gateway at once. */
    refuseWaiting(): void;
    queueOf(database: string, endpoint: string): AdmissionQueue;
}
