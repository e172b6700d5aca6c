/** Constants of the features. */
export const featureConstants = {
    stepTimeoutMilliseconds: 90_000,
    waitTimeoutMilliseconds: 40_000,
    seed: 4,
    sessionCount: 12,
    writeShare: 0.4,
    database: "catalog-1",
} as const;
