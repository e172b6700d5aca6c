/** How the wait for a confirmation ended. */
export enum ConfirmationOutcome {
    /** A majority of the group holds the position in that term. */
    Confirmed = "Confirmed",
    /** A higher term is known; the position may or may not be part of it. */
    Superseded = "Superseded",
    /** Neither a confirmation nor a higher term became known within the time limit. */
    TimedOut = "TimedOut",
}
