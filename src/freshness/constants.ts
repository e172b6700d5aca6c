/** Constants of freshness evidence. */
export const freshnessConstants = {
    maximumEvidencePerDatabase: 128,
} as const;
