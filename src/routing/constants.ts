/** Constants of routing. */
export const routingConstants = {
    /** Committed positions remembered per database, to tell how far behind a replica is. */
    rememberedPositions: 512,
    /** Weight of a new sample in the moving averages of latency and lag. */
    sampleWeight: 0.2,
    /** A failed endpoint is ordered last for this long. */
    failurePenaltyMilliseconds: 1_000,
    /** Latency assumed of an endpoint that was not yet observed, by distance. */
    sameZoneLatencyMilliseconds: 2,
    sameRegionLatencyMilliseconds: 6,
    otherRegionLatencyMilliseconds: 70,
    /** Added to the predicted wait, so that a small misprediction does not end in `Behind`. */
    waitMarginMilliseconds: 10,
} as const;
