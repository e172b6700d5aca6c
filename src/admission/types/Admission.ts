import type { AdmissionQueue } from "./AdmissionQueue.js";

/** The admission queues of this gateway, one for each endpoint. */
export interface Admission {
    /** Refuses all waiting tickets with `Stopping`, so that another gateway can take them at once. */
    refuseWaiting(): void;
    queueOf(database: string, endpoint: string): AdmissionQueue;
}
