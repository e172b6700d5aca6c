/** Permission to run one statement or transaction at an endpoint. */
export interface AdmissionSlot {
    /** Releases the slot; a second call has no effect. */
    release(): void;
}
