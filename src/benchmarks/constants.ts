/** Constants of the measurements of a gateway's data plane. */
export const benchmarkConstants = {
    slots: 3,
    serviceMilliseconds: 5,
    deadlineMilliseconds: 100,
    runMilliseconds: 4_000,
    warmUpMilliseconds: 500,
    tickMilliseconds: 5,
    /** Load of the quiet caller as a share of what the slots can serve. */
    quietShare: 0.05,
    loadFactors: [1, 2, 5],
    heldReads: 1_000,
    replicationLagsMilliseconds: [0, 10],
    writePauseMilliseconds: 5,
} as const;
