/** Operations of the endpoint stand-in's statement language. */
export enum StatementOperation {
    Get = "Get",
    Set = "Set",
    Add = "Add",
    Append = "Append",
    ReadList = "ReadList",
    /** Several statements, executed atomically. */
    Batch = "Batch",
}
