/** Progress of the holder with a change whose end may become unknown. */
export enum SettlementPhase {
    Serving = "Serving",
    Announced = "Announced",
    Ordered = "Ordered",
    /** The promotion was ordered, and no endpoint was seen to lead since. */
    Unknown = "Unknown",
}
