/** Constants of the membership service. */
export const membershipConstants = {
    probeIntervalMilliseconds: 200,
    /** Time for a direct answer, and again for an indirect one. */
    probeTimeoutMilliseconds: 200,
    indirectProbes: 3,
    /** Probe intervals for which a suspicion can be refuted; grows with the logarithm of the zone's size. */
    suspicionIntervals: 3,
    /** Rings over the members of a zone; each gateway probes its successor in each. */
    rings: 8,
    /** Gateways of a zone that probe other zones and read the platform's list. */
    bridgesPerZone: 3,
    /** Further members asked before a whole zone counts as lost. */
    zoneLossProbes: 3,
    /** Times that an update is passed on, for each tenfold of the fleet. */
    transmissionsPerTenfold: 4,
    /** Times that an update is passed on to other zones, for each zone. */
    transmissionsPerZone: 4,
    /** Updates kept for passing on; synchronization repairs what is dropped. */
    queuedUpdates: 1_000,
    updateBytesPerMessage: 700,
    /** Share of rounds in which a dead gateway is probed, to find those that are back. */
    deadProbeShare: 0.1,
    deadRetentionMilliseconds: 600_000,
    /** First interval of synchronization; it doubles up to the longest one. */
    firstSynchronizationMilliseconds: 1_000,
    synchronizationIntervalMilliseconds: 10_000,
    synchronizationBuckets: 64,
    recordsPerAnswer: 2_000,
    introductionIntervalMilliseconds: 10_000,
    introductionsPerRound: 8,
    /** Interval while no other gateway is known. */
    aloneIntervalMilliseconds: 1_000,
    /** Longest random wait before the platform's list is read at the start. */
    startJitterMilliseconds: 300,
    callTimeoutMilliseconds: 500,
    leaveFanOut: 8,
    highestIncarnation: 2 ** 40,
    nameLength: 256,
} as const;
