/** Constants of the history checks. */
export const historyConstants = {
    /** Maximum number of violations of one check in the verdict; all violations are counted. */
    maximumViolationsPerCheck: 20,
    /** Tolerance for the rounding of the ages in answers. */
    ageToleranceMilliseconds: 1,
} as const;
