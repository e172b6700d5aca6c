/** Constants of the directory. */
export const directoryConstants = {
    /** Hosts that watch the store besides the holder of the failover duty. */
    standbyWatchers: 1,
    /** Hosts that watch the store at most while the data is stale. */
    maximumWatchers: 8,
    /**
     * Length of one watch, as a share of the time within which a configuration has to be in force: an unresponsive
     * connection to the store has to be noticed in less.
     */
    watchShare: 0.45,
    /** Age at which data is stale, as a share of the same time: longer than a watch and the renewals after it. */
    staleShare: 0.6,
    /** Delay that orders the VMs which watch when the data is stale: each waits its rank times this, in milliseconds. */
    rankDelayMilliseconds: 50,
    /** Upper bound of the reported age, in milliseconds. */
    maximumReportedAgeMilliseconds: 3_600_000,
    /** Polling interval of a VM that does not watch, to check whether it has to, in milliseconds. */
    watchPollingMilliseconds: 400,
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
