/** Kinds of events in the history of a simulation. */
export enum HistoryEventKind {
    Promotion = "Promotion",
    Commit = "Commit",
    Acknowledgement = "Acknowledgement",
    ReadRequest = "ReadRequest",
    Read = "Read",
    ReadAnswer = "ReadAnswer",
    Order = "Order",
}
