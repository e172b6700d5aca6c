/** Constants of admission. */
export const admissionConstants = {
    /** Slots that a gateway uses at an endpoint that another gateway owns. */
    slotsWithoutOwnership: 1,
    /** Weight of the newest service time in the mean. */
    serviceTimeWeight: 0.1,
    /** Share of a ticket's time left that its expected wait may take. */
    waitShare: 0.5,
    /** Mean service times that must be left when a ticket is given its slot. */
    leastServiceTimesLeft: 2,
    /** Share of a slot's turn that each caller is given in each round. */
    quantum: 1,
    /** Bounds of the cost of one item, relative to the mean of all callers. */
    leastCost: 0.25,
    greatestCost: 4,
    /** Callers whose service times are remembered at one endpoint. */
    rememberedCallers: 1_000,
    /** Retries that a key may have saved up. */
    retryReserve: 10,
    rememberedBudgets: 10_000,
    /** Time for which an idle link saves up its bytes. */
    linkBurstMilliseconds: 100,
    /** Requests that an entry may have under way at one endpoint: at the start, at least and at most. */
    startLimit: 32,
    leastLimit: 1,
    greatestLimit: 1_024,
    /** What a refusal leaves of the limit, and the least pause between two decreases. */
    decreaseFactor: 0.7,
    decreasePauseMilliseconds: 100,
} as const;
