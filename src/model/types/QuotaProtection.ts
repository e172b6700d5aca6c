/** A rule that keeps the sum of all grants within the quota. */
export enum QuotaProtection {
    /** A grant ends by the time since before its demand was sent. */
    EndCountsFromDemand = "EndCountsFromDemand",
    /** A new holder grants nothing new before the grants of its predecessor have ended. */
    WaitsForFormerGrants = "WaitsForFormerGrants",
    /** What was not spent is lost at the end of a grant. */
    NotCarriedOver = "NotCarriedOver",
    /** The end of a grant counts the time for which the VM was suspended. */
    CountsSuspension = "CountsSuspension",
    /** A new holder assumes that the bucket was just emptied. */
    CautiousStart = "CautiousStart",
}
