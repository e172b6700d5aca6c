/** What a caller runs as one unit. */
export enum UnitKind {
    Single = "Single",
    Transaction = "Transaction",
}
