/** Constants of the membership service. */
export const membershipConstants = {
    probeIntervalMilliseconds: 200,
    /** Timeout of a direct probe; an indirect probe has twice this time. */
    probeTimeoutMilliseconds: 200,
    /** Other gateways that are requested to probe a gateway after a direct probe failed. */
    indirectProbeCount: 3,
    /** Time to refute a suspicion, in probe intervals; grows with the decimal logarithm of the zone's size. */
    suspicionIntervals: 3,
    /** Number of hash rings over the members of a zone; each gateway probes its successor in each ring. */
    ringCount: 8,
    /** Gateways of each zone that probe other zones and read the platform's list of VMs. */
    bridgesPerZone: 3,
    /** Maximum number of further members that are probed before a whole zone is considered lost. */
    maximumZoneLossProbes: 3,
    /** Transmissions of an update within the zone, for each factor of ten in the size of the fleet. */
    transmissionsPerFactorOfTen: 4,
    /** Transmissions of an update to other zones, for each zone. */
    transmissionsPerZone: 4,
    /** Maximum number of queued updates; synchronization repairs the loss of dropped ones. */
    maximumQueuedUpdates: 1_000,
    maximumUpdateBytesPerMessage: 700,
    /** Share of probe intervals in which a dead gateway is probed as well, to detect its return. */
    deadProbeShare: 0.1,
    deadRetentionMilliseconds: 600_000,
    /** Bounds of the interval between synchronizations, which doubles after each. */
    initialSynchronizationIntervalMilliseconds: 1_000,
    maximumSynchronizationIntervalMilliseconds: 10_000,
    synchronizationBucketCount: 64,
    maximumRecordsPerAnswer: 2_000,
    discoveryIntervalMilliseconds: 10_000,
    maximumJoinsPerIteration: 8,
    /** Initial interval of discovery while no other gateway is reachable; it doubles up to the regular interval. */
    initialDiscoveryIntervalMilliseconds: 1_000,
    /** Maximum random delay before the platform's list of VMs is read at the start. */
    maximumStartJitterMilliseconds: 300,
    callTimeoutMilliseconds: 500,
    leaveFanOut: 8,
    maximumIncarnation: 2 ** 40,
    maximumNameLength: 256,
} as const;
