/** Whether a VM without a lease can verify a primary by queries. */
export enum Verifiability {
    /** The endpoints that the VM knows are enough to learn from them of each change of primary. */
    Possible = "Possible",
    /** The VM has just started, and may hear of the holder of the failover duty at any moment. */
    NotYet = "NotYet",
    /** The VM may lack an endpoint. */
    Impossible = "Impossible",
}
