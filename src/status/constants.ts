/** Constants of status reports. */
export const statusConstants = {
    /** Time between two reports of an entry. */
    reportIntervalMilliseconds: 1_000,
    /** Age beyond which an entry's report is dropped. */
    maximumReportAgeMilliseconds: 10_000,
    /** With more configured databases than this, a gateway reports only the groups that it coordinates. */
    maximumListedGroups: 200,
} as const;
