/** Kind of a recorded operation on the lists of a database. */
export enum OperationKind {
    /** Appends one unique value to one list. */
    Append = "Append",
    /** Appends one unique value to each list of a pair, in one transaction. */
    AppendPair = "AppendPair",
    /** Reads one list. */
    ReadList = "ReadList",
    /** Reads both lists of a pair in one statement. */
    ReadPair = "ReadPair",
}
