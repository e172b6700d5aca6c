/** Constants of admission. */
export const admissionConstants = {
    /** Slots that a gateway uses at an endpoint that another gateway owns. */
    slotsWithoutOwnership: 1,
    /** Weight of the newest service time in the mean. */
    serviceTimeWeight: 0.1,
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
} as const;
