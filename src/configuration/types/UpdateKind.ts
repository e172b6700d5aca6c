/** Kinds of items by which one process brings another to its configuration version. */
export enum UpdateKind {
    /** Everything up to this version has been sent. */
    InForce = "InForce",
    Record = "Record",
    /** A part of the whole content, as JSON text. */
    SnapshotPart = "SnapshotPart",
}
