/** Constants of knowing the primaries. */
export const primaryConstants = {
    /** An endpoint that refused as not being the primary is not taken for it again this soon, in milliseconds. */
    refutedMilliseconds: 250,
    /** A change of primary that was announced and not finished is forgotten after this time, in milliseconds. */
    changeMilliseconds: 4_000,
    /** Evidence of a primary's position that is remembered per group. */
    rememberedEvidence: 64,
    /** Evidence closer than this to the one before replaces nothing, in milliseconds. */
    evidenceSpacingMilliseconds: 40,
} as const;
