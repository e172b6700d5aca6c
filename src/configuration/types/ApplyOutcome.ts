/** Outcome of applying a version record that a process received. */
export enum ApplyOutcome {
    Applied = "Applied",
    /** The version is already in force or superseded. */
    NotNewer = "Known",
    /** Earlier versions are missing; the record is buffered until they arrive. */
    Buffered = "Early",
    /** The digest of the resulting document differs from the digest in the record; the record is not applied. */
    Diverged = "Diverged",
}
