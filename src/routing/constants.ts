/** Constants of routing. */
export const routingConstants = {
    /** Committed positions kept per database, from which the lag of a replica is derived. */
    maximumTrackedPositions: 512,
    /** Weight of a new sample in the moving averages of latency and lag. */
    sampleWeight: 0.2,
    /** For this long after a failure, an endpoint is ordered last. */
    failurePenaltyMilliseconds: 1_000,
    /** Latency assumed before the first observation of an endpoint, by distance. */
    sameZoneLatencyMilliseconds: 2,
    sameRegionLatencyMilliseconds: 6,
    otherRegionLatencyMilliseconds: 70,
    /** Added to the predicted wait, so that a small misprediction does not end in `Behind`. */
    waitMarginMilliseconds: 10,
} as const;
