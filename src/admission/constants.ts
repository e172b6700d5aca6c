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
    /** Turns of more urgent classes after which a less urgent class that waits has one; bounds its starvation. */
    turnsPerLowerClassTurn: 10,
    /** Measured service times without which no wait is estimated, and the greatest age of the newest, in milliseconds. */
    minimumServiceSamples: 8,
    serviceEvidenceMilliseconds: 1_000,
    /** Bound of one measured service time, relative to the mean, so that a stall is no evidence of slow service. */
    maximumServiceFactor: 4,
    /**
     * Share of the time to a statement's target latency that its wait may use during an overload. Callers try a refused
     * statement up to three times.
     */
    attemptTargetShare: 1 / 3,
    /** Time constant of the moving rate of arrivals, in milliseconds. */
    arrivalMilliseconds: 1_000,
    /** Time constant of the moving rate of a caller's arrivals, by which its fair share is judged, in milliseconds. */
    fairShareMilliseconds: 2_000,
    /** Greatest age of the computed fair share of callers, in milliseconds. */
    fairLevelMilliseconds: 25,
    /** Ratio of expected wait and time left at which refusals begin, and below which they end. */
    refusalRatio: 1,
    admittingRatio: 0.8,
    /** Time for which the ratio must stay beyond the bound before refusals begin or end, in milliseconds. */
    persistenceMilliseconds: 100,
} as const;
