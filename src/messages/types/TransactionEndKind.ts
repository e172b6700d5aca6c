/** How a transaction is ended. */
export enum TransactionEndKind {
    Commit = "Commit",
    Rollback = "Rollback",
}
