/** Whether a statement reads or writes. */
export enum AccessMode {
    Read = "Read",
    Write = "Write",
}
