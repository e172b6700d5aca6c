/** Whether a prepared statement reads or writes. */
export enum AccessMode {
    Read = "Read",
    Write = "Write",
}
