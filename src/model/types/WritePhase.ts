/** How far the VM's write at the old primary is. */
export enum WritePhase {
    Waiting = "Waiting",
    Sent = "Sent",
    Committed = "Committed",
    /** The caller was told of success. */
    Acknowledged = "Acknowledged",
    /** The caller was told that it did not run, or that its outcome is unknown. */
    Refused = "Refused",
}
