/** Constants of the history checks. */
export const historyConstants = {
    /** Violations kept for the verdict from one check; all are counted. */
    violationsKeptPerCheck: 20,
    /** Rounding of the ages in answers. */
    ageToleranceMilliseconds: 1,
} as const;
