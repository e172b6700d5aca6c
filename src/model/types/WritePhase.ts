/** Progress of the VM's write at the old primary. */
export enum WritePhase {
    Waiting = "Waiting",
    Sent = "Sent",
    Committed = "Committed",
    /** The caller got a success. */
    Acknowledged = "Acknowledged",
    /** The caller got a failure: the write did not run, or its outcome is unknown. */
    Refused = "Refused",
}
