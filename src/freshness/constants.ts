/** Constants of freshness evidence. */
export const freshnessConstants = {
    rememberedEvidence: 128,
} as const;
