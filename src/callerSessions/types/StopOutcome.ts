/** How a statement ended that was received before or during a stop. */
export enum StopOutcome {
    /** The session answered it, as without a stop. */
    Answered = "answered",
    /** The stop refused it; it was not run. */
    Refused = "refused",
    /** The stop rolled back its transaction, or no longer waited for a read. */
    Aborted = "aborted",
    /** The stop no longer waited for its endpoint; it may have taken effect. */
    Unknown = "unknown",
    /** Its connection ended while it ran; the caller got no answer. */
    Cut = "cut",
}
