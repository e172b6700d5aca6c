/** Limits retries to a share of the requests, separately for each key, such as an endpoint. */
export interface RetryBudget {
    /** Counts a first attempt. */
    countRequest(key: string): void;
    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    tryConsumeRetry(key: string): boolean;
}
