/** Bounds retries to a share of requests, for each endpoint or other key. */
export interface RetryBudget {
    /** Counts a first attempt. */
    countRequest(key: string): void;
    /** Takes one retry from the budget; false when it is used up. */
    tryRetry(key: string): boolean;
}
