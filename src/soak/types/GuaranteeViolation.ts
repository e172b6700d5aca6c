/** A violation of a guarantee in a run. */
export interface GuaranteeViolation {
    /** The guarantee, in words. */
    readonly promise: string;
    /** Human-readable description of the violation. */
    readonly detail: string;
}
