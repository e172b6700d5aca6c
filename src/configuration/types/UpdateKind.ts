/** Kinds of updates that one process sends to bring another to its configuration version. */
export enum UpdateKind {
    /** Everything up to this version has been sent. */
    InForce = "InForce",
    Record = "Record",
    /** A part of a snapshot, as JSON text. */
    SnapshotPart = "SnapshotPart",
}
