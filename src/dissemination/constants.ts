/** Constants of the dissemination service. */
export const disseminationConstants = {
    /** Number of peers in the own availability zone to which a new record is pushed. */
    zoneFanOut: 8,
    /** Gateways of each availability zone that exchange records with other zones. */
    bridgesPerZone: 2,
    pushDelayMilliseconds: 2,
    recordsPerPush: 200,
    comparisonIntervalMilliseconds: 1_000,
    /** Share of comparisons with a peer in another availability zone, if the own zone has peers. */
    otherZoneShare: 0.2,
    callTimeoutMilliseconds: 2_000,
    buckets: 256,
    recordsPerPull: 1_000,
    keyLength: 256,
    valueBytes: 16_384,
    budgetBytesPerSecond: 6_000,
    budgetBurstBytes: 262_144,
} as const;
