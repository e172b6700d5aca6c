/** Outcome of a statement or transaction, as known to its caller. */
export enum UnitOutcome {
    /** It took effect. */
    Acknowledged = "Acknowledged",
    /** It took no effect: the answer guarantees that, or the commit was never sent. */
    NotKept = "NotKept",
    /** It may have taken effect. */
    Unknown = "Unknown",
}
