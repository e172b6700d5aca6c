/** How far a change of primary has come. */
export enum AnnouncementPhase {
    /** Nothing is sent to the present primary any more. */
    Begun = "Begun",
    /** Another endpoint is the primary. */
    Finished = "Finished",
    /** The present primary stays. */
    Cancelled = "Cancelled",
}
