/** Constants of admission. */
export const admissionConstants = {
    /** Slots that a gateway uses at an endpoint owned by another gateway. */
    slotsOfNonOwner: 1,
    /** Weight of the newest service time in the moving mean. */
    serviceTimeWeight: 0.1,
    /** Share of a request's time left that its expected wait may use. */
    maximumWaitShare: 0.5,
    /** Number of mean service times that must be left before the deadline when a request is granted its slot. */
    minimumServiceTimesLeft: 2,
    /** Cost that each caller may spend in each round of deficit round robin; 1 is the mean cost of an item. */
    quantum: 1,
    /** Bounds of the cost of one item, relative to the mean over all callers. */
    minimumCost: 0.25,
    maximumCost: 4,
    /** Maximum number of callers whose service times are kept for one endpoint. */
    maximumTrackedCallers: 1_000,
    /** Maximum balance of a key, in retries. */
    maximumRetryBalance: 10,
    /** Maximum number of keys with a balance; the least recently used is removed. */
    maximumTrackedBudgets: 10_000,
    /** Time during which an idle link accumulates bytes to send. */
    linkBurstMilliseconds: 100,
    /** Requests that an entry may have in flight at one endpoint: initially, at least and at most. */
    initialLimit: 32,
    minimumLimit: 1,
    maximumLimit: 1_024,
    /** Factor by which a refusal reduces the limit, and minimum time between two reductions. */
    decreaseFactor: 0.7,
    decreaseIntervalMilliseconds: 100,
} as const;
