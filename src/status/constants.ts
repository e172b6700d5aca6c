/** Constants of status reports. */
export const statusConstants = {
    /** Time between two reports of an entry. */
    reportMilliseconds: 1_000,
    /** Age at which an entry's report is dropped. */
    outdatedMilliseconds: 10_000,
    /** Configured databases up to which a gateway reports every group, and not only those that it coordinates. */
    maximumListedGroups: 200,
} as const;
