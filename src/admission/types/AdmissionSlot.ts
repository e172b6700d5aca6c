/** The right to run one statement or transaction at an endpoint. */
export interface AdmissionSlot {
    /** Gives the slot back; a second call has no effect. */
    release(): void;
}
