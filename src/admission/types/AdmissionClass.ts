/** Kinds of work that need a slot. */
export enum AdmissionClass {
    /** A single statement: a write, or a read with session consistency. */
    Statement = "Statement",
    /** A transaction, which holds its slot until it ends. */
    Transaction = "Transaction",
    /** A bounded-staleness read; served only when nothing else waits. */
    BoundedStalenessRead = "BoundedStalenessRead",
}
