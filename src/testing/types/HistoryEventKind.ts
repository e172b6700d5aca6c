/** Kinds of events in the history of a simulation. */
export enum HistoryEventKind {
    Promotion = "Promotion",
    Commit = "Commit",
    Acknowledgement = "Acknowledgement",
    Order = "Order",
}
