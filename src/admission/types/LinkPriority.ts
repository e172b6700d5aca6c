/** Priorities of messages on a link between regions, highest first. */
export enum LinkPriority {
    Control = "Control",
    Write = "Write",
    Read = "Read",
}
