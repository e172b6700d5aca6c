import type { AdmissionSlot } from "../../admission/types/AdmissionSlot.js";

/** The slot and the deadline of an admitted request. */
export interface AdmittedWork {
    readonly slot: AdmissionSlot;
    /** Time of the monotonic clock, in milliseconds, by which the reply is due. */
    readonly deadlineAt: number;
}
