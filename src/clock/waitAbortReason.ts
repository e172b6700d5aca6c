/** Reason for aborting a wait that is no longer needed; without one, `abort` creates an error, which is expensive. */
export const waitAbortReason = "the wait is no longer needed";
