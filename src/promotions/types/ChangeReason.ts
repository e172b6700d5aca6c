/** Reason for a change of the primary. */
export enum ChangeReason {
    /** The primary is about to stop. */
    Leaving = "Leaving",
    /** No VM can reach the primary. */
    Unreachable = "Unreachable",
    /** No endpoint of the group is known as the primary. */
    Missing = "Missing",
}
