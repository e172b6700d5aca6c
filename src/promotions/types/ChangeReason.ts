/** Why a primary is changed. */
export enum ChangeReason {
    /** It is about to stop. */
    Leaving = "Leaving",
    /** No VM reaches it. */
    Unreachable = "Unreachable",
    /** No endpoint of the group is known as the primary. */
    Missing = "Missing",
}
