/** Progress of a VM that may replace the holder. */
export enum ContactPhase {
    /** The VM has not started. */
    Absent = "Absent",
    /** The VM has no contact with the holder, and waits before it takes over. */
    Waiting = "Waiting",
    /** The VM's wait is over, and its attempt to take over is delayed. */
    Delayed = "Delayed",
    /** The holder lists the VM and hears it. */
    InContact = "InContact",
    /** The holder lists the VM and does not hear it. */
    Silent = "Silent",
    /** The VM has taken over. */
    Holder = "Holder",
}
