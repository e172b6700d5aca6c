/** What reads of a route may miss. */
export enum ReadGuarantee {
    /** Nothing: each read sees every commit that was acknowledged before it. */
    Primary = "Primary",
    /** Commits of the last moments, up to a bound. */
    BoundedStaleness = "BoundedStaleness",
    /** The same, but never a commit of the same session. */
    ReadYourWrites = "ReadYourWrites",
}
