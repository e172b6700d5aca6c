/** Whether a statement may change data. */
export enum RequestKind {
    Read = "Read",
    Write = "Write",
}
