/** What became of a version record that a process received. */
export enum TakeInOutcome {
    Applied = "Applied",
    /** The version is already in force or superseded. */
    Known = "Known",
    /** Versions before it are missing; it is kept until they arrive. */
    Early = "Early",
    /** The resulting content has another digest than the record says. */
    Diverged = "Diverged",
}
