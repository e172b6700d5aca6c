/** Kind of a violated guarantee. */
export enum ViolationKind {
    /** An acknowledged write is absent from the final state. */
    LostWrite = "LostWrite",
    /** One write took effect more than once. */
    DoubledWrite = "DoubledWrite",
    /** A request was answered as not run, yet it took effect. */
    NotRunTookEffect = "NotRunTookEffect",
    /** A value appeared that no request had written before. */
    ReadFromFuture = "ReadFromFuture",
    /** A read returned data that is not part of the final state. */
    ReadOfUndoneWrite = "ReadOfUndoneWrite",
    /** A session did not read its own acknowledged write. */
    StaleRead = "StaleRead",
    /** A session read fewer values than it had read before. */
    NonMonotonicRead = "NonMonotonicRead",
    /** A read of the latest data missed an acknowledged write. */
    MissedLatestWrite = "MissedLatestWrite",
    /** A read is older than the age reported or accepted. */
    ReadTooOld = "ReadTooOld",
    /** A transaction took effect in part, or was read in part. */
    PartialTransaction = "PartialTransaction",
    /** A value is in a list that its request did not name. */
    MixedTransaction = "MixedTransaction",
    /** An answer belongs to another request. */
    ForeignAnswer = "ForeignAnswer",
    /** A write was acknowledged in a term that had been superseded. */
    SupersededAcknowledgement = "SupersededAcknowledgement",
    /** Two sources of the final state differ. */
    DivergedState = "DivergedState",
}
