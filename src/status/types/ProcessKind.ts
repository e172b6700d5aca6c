/** Kinds of processes that report their status. */
export enum ProcessKind {
    Entry = "Entry",
    Gateway = "Gateway",
}
