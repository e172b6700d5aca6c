/** Progress of a change of the primary. */
export enum AnnouncementPhase {
    /** The change has begun: no VM sends statements to the current primary any more. */
    Begun = "Begun",
    /** The change is complete: the announced endpoint is the primary. */
    Finished = "Finished",
    /** The change was cancelled: the current primary stays. */
    Cancelled = "Cancelled",
}
