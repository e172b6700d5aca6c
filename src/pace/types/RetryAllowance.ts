/** Limits the retries of statements for which an endpoint had no slot. */
export interface RetryAllowance {
    /** Counts a statement of a group. */
    countStatement(group: string): void;
    /** Waits until a retry is allowed; returns false if none is before the time limit or the signal is aborted. */
    waitForRetry(group: string, expiresAt: number, signal: AbortSignal): Promise<boolean>;
}
