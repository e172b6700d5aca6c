/** Whether a transaction is committed or rolled back. */
export enum TransactionEndKind {
    Commit = "Commit",
    Rollback = "Rollback",
}
