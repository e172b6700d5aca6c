/** Sizes and durations of the benchmarks. */
export const benchmarkConstants = {
    slots: 3,
    serviceMilliseconds: 5,
    deadlineMilliseconds: 100,
    runMilliseconds: 4_000,
    warmUpMilliseconds: 500,
    sendIntervalMilliseconds: 5,
    /** Load of the quiet caller as a share of the capacity of the slots. */
    quietShare: 0.05,
    loadFactors: [1, 2, 5],
    readCount: 1_000,
    replicationLagsMilliseconds: [0, 10],
    writePauseMilliseconds: 5,
    controlSites: [
        { vmsPerZone: 1, databases: 3 },
        { vmsPerZone: 3, databases: 3 },
        { vmsPerZone: 3, databases: 12 },
    ],
    controlFleetSizes: [8, 16, 32, 64],
    controlStabilizationMilliseconds: 3_000,
    controlObservedMilliseconds: 5_000,
} as const;
