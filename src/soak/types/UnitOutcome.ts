/** What a caller knows of a statement or transaction. */
export enum UnitOutcome {
    /** It took effect. */
    Acknowledged = "Acknowledged",
    /** The answer promises that nothing is kept, or the commit was never sent. */
    NotKept = "NotKept",
    /** Nothing is promised. */
    Unknown = "Unknown",
}
