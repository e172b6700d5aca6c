/** Outcome of applying a version record that a process received. */
export enum ApplyOutcome {
    Applied = "Applied",
    /** The version is already in force or superseded. */
    NotNewer = "NotNewer",
    /** Earlier versions are missing; the record is buffered until they arrive. */
    Buffered = "Buffered",
    /** The resulting content has another digest than the record says. */
    Diverged = "Diverged",
}
