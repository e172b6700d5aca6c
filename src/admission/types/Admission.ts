import type { AdmissionQueue } from "./AdmissionQueue.js";

/** The admission queues of this gateway, one for each endpoint. */
export interface Admission {
    queueOf(database: string, endpoint: string): AdmissionQueue;
}
