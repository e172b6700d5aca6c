/** Progress of the holder with the change. */
export enum ChangePhase {
    Serving = "Serving",
    Announced = "Announced",
    Ordered = "Ordered",
    /** The successor is the primary and may have acknowledged commits. */
    Promoted = "Promoted",
}
