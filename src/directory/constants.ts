/** Constants of the directory. */
export const directoryConstants = {
    /** Length of one watch of the store, in milliseconds; short, so that an unresponsive connection is noticed. */
    watchMilliseconds: 4_000,
    /** The same where a few VMs watch for their zone: shorter, so that the others soon notice an unresponsive store. */
    sharedWatchMilliseconds: 2_000,
    /** Age of its data at which a VM that relies on other VMs' watches watches the store itself, in milliseconds. */
    freshnessMilliseconds: 2_800,
    /** Upper bound of the reported age, in milliseconds. */
    maximumReportedAgeMilliseconds: 3_600_000,
    /** Polling interval of a VM that does not watch, to check whether it has to, in milliseconds. */
    watchPollingMilliseconds: 200,
    /** Removals that are kept to be sent to other VMs; the oldest are dropped. */
    maximumRemovals: 64,
    /** Length of a watch after a failed call, in milliseconds; short, so that a recovered store is noticed at once. */
    retryWatchMilliseconds: 200,
    /** First and longest pause between failed calls to the store, in milliseconds. */
    initialRetryMilliseconds: 200,
    maximumRetryMilliseconds: 1_000,
    /** Time limit of a call to the store, in milliseconds. */
    callTimeoutMilliseconds: 1_200,
    /** Time for which an endpoint without a record stays in use: a failing store drops records. In milliseconds. */
    missingRecordMilliseconds: 2_500,
    /** Time for which it is then treated as leaving, for a planned change of a primary. In milliseconds. */
    leavingMilliseconds: 3_500,
} as const;
