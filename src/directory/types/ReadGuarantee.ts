/** Commits that reads of a route may miss. */
export enum ReadGuarantee {
    /** None: each read sees every commit that was acknowledged before it. */
    Primary = "Primary",
    /** Commits newer than the route's staleness bound. */
    BoundedStaleness = "BoundedStaleness",
    /** The same, except the session's own commits, which each read sees. */
    ReadYourWrites = "ReadYourWrites",
}
