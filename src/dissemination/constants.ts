/** Constants of the dissemination service. */
export const disseminationConstants = {
    /** Number of peers in the own availability zone to which a new record is pushed. */
    zoneFanOut: 8,
    /** Gateways of each availability zone that exchange records with other zones. */
    bridgesPerZone: 2,
    pushDelayMilliseconds: 2,
    maximumRecordsPerPush: 200,
    comparisonIntervalMilliseconds: 1_000,
    /** Share of comparisons with a peer in another availability zone, if the own zone has peers. */
    otherZoneShare: 0.2,
    callTimeoutMilliseconds: 2_000,
    bucketCount: 256,
    maximumRecordsPerPull: 1_000,
    maximumKeyLength: 256,
    maximumValueLength: 16_384,
    budgetBytesPerSecond: 6_000,
    budgetBurstBytes: 262_144,
} as const;
