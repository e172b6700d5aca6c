/** Reason for a change of the primary. */
export enum ChangeReason {
    /** The primary is about to stop. */
    Leaving = "Leaving",
    /** No VM can reach the primary. */
    Unreachable = "Unreachable",
    /** No endpoint of the group is known as the primary. */
    Missing = "Missing",
    /** An endpoint claims to be the primary, but another one may lead in a higher term. */
    Undecided = "Undecided",
}
