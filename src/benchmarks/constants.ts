/** Sizes and durations of the benchmarks. */
export const benchmarkConstants = {
    slots: 3,
    serviceMilliseconds: 5,
    deadlineMilliseconds: 100,
    runMilliseconds: 4_000,
    warmUpMilliseconds: 500,
    tickMilliseconds: 5,
    /** Load of the quiet caller as a share of the capacity of the slots. */
    quietShare: 0.05,
    loadFactors: [1, 2, 5],
    heldReads: 1_000,
    replicationLagsMilliseconds: [0, 10],
    writePauseMilliseconds: 5,
    controlSites: [
        { vmsPerZone: 1, databases: 3 },
        { vmsPerZone: 3, databases: 3 },
        { vmsPerZone: 3, databases: 12 },
    ],
    controlFleets: [8, 16, 32, 64],
    controlSettleMilliseconds: 3_000,
    controlObservedMilliseconds: 5_000,
} as const;
