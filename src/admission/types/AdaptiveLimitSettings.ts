/** Bounds and steps of an adaptive limit. */
export interface AdaptiveLimitSettings {
    readonly initialLimit: number;
    readonly minimumLimit: number;
    readonly maximumLimit: number;
    /** Factor by which a refusal reduces the limit. */
    readonly decreaseFactor: number;
    /** Minimum time between two reductions, in milliseconds. */
    readonly decreaseIntervalMilliseconds: number;
    /** Requests by which a whole round of successful requests raises the limit; 1 when left out. */
    readonly increaseRequests?: number;
    /**
     * Expected duration of a request in milliseconds. With it, the part of the limit beyond whole requests is used too: such a
     * request may start at intervals that make it run for that part of the time. When left out, the limit is rounded down.
     */
    readonly requestMilliseconds?: () => number;
}
