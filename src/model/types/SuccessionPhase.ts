/** Progress of the new holder. */
export enum SuccessionPhase {
    /** The previous holder has not been replaced. */
    Absent = "Absent",
    /** The new holder does not know who leads the group. */
    Undecided = "Undecided",
    Announced = "Announced",
    Ordered = "Ordered",
    /** The new holder has announced who leads the group. */
    Decided = "Decided",
}
