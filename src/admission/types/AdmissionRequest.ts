import type { AdmissionClass } from "./AdmissionClass.js";

/** A request for a slot. */
export interface AdmissionRequest {
    /** Slots are shared fairly between callers. */
    readonly caller: string;
    readonly admissionClass: AdmissionClass;
    readonly timeLeftMilliseconds: number;
    /** Ends the wait; a slot that was already granted is not affected. */
    readonly signal?: AbortSignal;
}
