/** Constants of quotas. */
export const quotaConstants = {
    /** Length of the window in which the excess over a quota is bounded, unless set otherwise, in milliseconds. */
    defaultWindowMilliseconds: 5_000,
    /** Share of what a quota admits in a window that may be admitted beyond it, unless set otherwise. */
    defaultExcessShare: 0.1,
    /** Operations that may be admitted in a window beyond the quota and the share, unless set otherwise. */
    defaultExcessOperations: 20,
    /**
     * Duration of a grant, from the moment before the demand was sent, in milliseconds. It covers the time until a new
     * holder may go on with the grants of its predecessor.
     */
    grantMilliseconds: 4_500,
    /** Name of the object in the platform's store that records the VMs that may hold grants. */
    grantRecordName: "grants",
    /** Pause after a failed write of that record, in milliseconds. */
    grantRecordRetryMilliseconds: 200,
    /** Time since its last demand after which a VM is left out of that record, in milliseconds. */
    recordedVmMilliseconds: 30_000,
    /** Interval at which the holder answers its own demands, in milliseconds. */
    ownGrantMilliseconds: 300,
    /** Time without an answer to demands after which operations no longer wait for a grant, in milliseconds. */
    unansweredMilliseconds: 1_000,
    /** Longest time for which an operation waits for its quota, in milliseconds. */
    maximumWaitMilliseconds: 450,
    /** Operations of one workspace that wait for its quota at one VM at most. */
    maximumWaiting: 200,
    /** Workspaces for which one VM asks at most in one renewal. */
    maximumDemands: 200,
    /** Time since the last operation after which a VM no longer asks for a workspace, in milliseconds. */
    recentDemandMilliseconds: 15_000,
    /** Time constant of the smoothed demand, in milliseconds. */
    smoothingMilliseconds: 1_000,
    /** Shortest time over which a demand is measured, in milliseconds. */
    minimumMeasureMilliseconds: 100,
    /** Shortest time between two removals of ended grants, which are counted until then, in milliseconds. */
    pruneMilliseconds: 100,
    /** Time without demands after which a VM gets no part of the quota any more, in milliseconds. */
    askingMilliseconds: 1_000,
    /** Time of its rate that a VM may hold in operations, in milliseconds: two renewals. */
    heldMilliseconds: 600,
    /** Operations that a VM may hold in addition. */
    heldOperations: 1,
    /** Share of the rate of a quota that VMs gain by themselves; the rest fills the bucket, for those that lack most. */
    rateShare: 0.75,
    /** Share of the rate of a quota up to which VMs gain more than their demand, while the bucket is full. */
    headroomShare: 0.9,
    /** Share of the bucket below which VMs gain no more than their demand. */
    emptyShare: 0.8,
    /** Standard deviations of a count by which the rate of a VM stays below its demand, so that it is used up. */
    deviations: 1.5,
    /** Share of what may be held that VMs hold for operations to come; the rest stays with the holder. */
    heldShare: 0.6,
    /** Change of a rate, as a share of it, below which the rate is kept. */
    steadyShare: 0.15,
    /** VMs for which the excess covers one held operation each, where the burst is too small to share. */
    maximumReservedVms: 12,
    /** Share of the excess that these held operations may use. */
    reservedExcessShare: 0.5,
    /** VMs counted in addition to the known ones, as a share: those that are paused or cut off and were replaced. */
    spareVmShare: 0.25,
    /** Time after which a refused operation may be repeated while no grant is known, in milliseconds. */
    retryWithoutGrantMilliseconds: 1_000,
    /** Shortest time after which a refused operation may be repeated, in milliseconds. */
    minimumRetryMilliseconds: 20,
    /** Longest time after which a refused operation may be repeated, in milliseconds. */
    maximumRetryMilliseconds: 5_000,
    /** Shortest time between two log lines about refusals, in milliseconds. */
    refusalLogMilliseconds: 10_000,
} as const;
