/** Constants of the known primaries. */
export const primaryConstants = {
    /** Time for which an endpoint that refused a write as not being the primary is disqualified, in milliseconds. */
    disqualifiedMilliseconds: 250,
    /**
     * Time after which statements go to the registered primary again although the end of an announced change is
     * unknown, in milliseconds; no lease vouches for it then.
     */
    changeExpiryMilliseconds: 4_000,
    /** Time for which a write may be sent to a primary that a query has verified, in milliseconds. */
    recentVerificationMilliseconds: 500,
    /** Most answers kept as evidence of a primary's log position, per group. */
    maximumEvidencePerGroup: 64,
    /** Evidence requested sooner than this after the newest kept one is dropped, in milliseconds. */
    evidenceSpacingMilliseconds: 40,
} as const;
