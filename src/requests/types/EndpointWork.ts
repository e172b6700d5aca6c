import type { AdmissionSlot } from "../../admission/types/AdmissionSlot.js";

/** The slot and the deadline that a request holds. */
export interface EndpointWork {
    readonly slot: AdmissionSlot;
    /** Reading of the monotonic clock, in milliseconds, by which the reply has to be given. */
    readonly deadlineAt: number;
}
