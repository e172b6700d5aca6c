/** What kind of work asks for a slot. */
export enum AdmissionClass {
    /** One statement: a write, or a read for a session. */
    Statement = "Statement",
    /** A transaction, which holds its slot until it ends. */
    Transaction = "Transaction",
    /** A read that accepts an age; served when nothing else waits. */
    AgedRead = "AgedRead",
}
