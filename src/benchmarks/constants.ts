/** Constants of the overload measurement. */
export const overloadConstants = {
    slots: 3,
    serviceMilliseconds: 5,
    deadlineMilliseconds: 100,
    runMilliseconds: 4_000,
    warmUpMilliseconds: 500,
    tickMilliseconds: 5,
    /** Load of the quiet caller as a share of what the slots can serve. */
    quietShare: 0.05,
    loadFactors: [1, 2, 5],
} as const;
