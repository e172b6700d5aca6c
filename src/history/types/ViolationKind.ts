/** Which promise a history breaks. */
export enum ViolationKind {
    /** An acknowledged write is absent from the final state. */
    LostWrite = "LostWrite",
    /** One write took effect more than once. */
    DoubledWrite = "DoubledWrite",
    /** A request was answered as not run, yet it took effect. */
    NotRunTookEffect = "NotRunTookEffect",
    /** A value appeared that nobody wrote before. */
    ReadFromFuture = "ReadFromFuture",
    /** A read returned data that is not part of the final state. */
    ReadOfUndoneWrite = "ReadOfUndoneWrite",
    /** A session did not see its own acknowledged write. */
    StaleRead = "StaleRead",
    /** A session saw less than it had seen before. */
    NonMonotonicRead = "NonMonotonicRead",
    /** A read that must be the latest missed an acknowledged write. */
    MissedLatestWrite = "MissedLatestWrite",
    /** A read is older than the age proven or accepted. */
    ReadTooOld = "ReadTooOld",
    /** A transaction took effect in part, or was seen in part. */
    PartialTransaction = "PartialTransaction",
    /** A value stands in a list that its request did not name. */
    MixedTransaction = "MixedTransaction",
    /** An answer belongs to another request. */
    ForeignAnswer = "ForeignAnswer",
    /** A write was acknowledged under a term that had been superseded. */
    SupersededAcknowledgement = "SupersededAcknowledgement",
    /** Two sources of the final state differ. */
    DivergedState = "DivergedState",
}
