/** What is sent over a link between regions, most urgent first. */
export enum LinkPriority {
    Control = "Control",
    Write = "Write",
    Read = "Read",
}
