/** Constants of placing statements on endpoints. */
export const placementConstants = {
    /** Time limit for opening a connection, in milliseconds. */
    openTimeoutMilliseconds: 1_500,
    /** Pause after a connection could not be opened; doubles up to the maximum, in milliseconds. */
    initialReopenMilliseconds: 100,
    maximumReopenMilliseconds: 1_000,
    /** Pause after the endpoint accepted no further connection; doubles up to the maximum, in milliseconds. */
    initialLimitPauseMilliseconds: 50,
    connectionLimitPauseMilliseconds: 400,
    /** Refusals in a row because of the limit after which statements no longer wait for a connection. */
    limitRefusalsUntilLasting: 4,
    /** Time for which an endpoint still counts the connections of lost VMs, in milliseconds. */
    darkConnectionMilliseconds: 3_000,
    /** Time after its start after which a VM that still does not know the others takes part in a common return. */
    returnNoticeMilliseconds: 400,
    /** Time after which requests no longer wait for a primary that accepts no connection, in milliseconds. */
    lostPrimaryMilliseconds: 3_000,
    /** Share of an endpoint's connection limit that all VMs together use; the rest stays free for VMs that restart. */
    connectionShare: 0.6,
    /** Share that they use where each VM would otherwise get fewer than the minimum. */
    maximumConnectionShare: 0.95,
    /** Minimum of connections per VM: one statement can run while another caller's transaction holds a connection. */
    minimumConnections: 2,
    /** Connections that a VM opens concurrently to one endpoint; few, so that VMs that start together all get some. */
    concurrentOpenings: 1,
    /** Most connections of one VM to one endpoint: more would only queue at the endpoint. */
    maximumConnections: 6,
    /** Idle time after which a VM closes a connection that other VMs are meant to hold, in milliseconds. */
    unusedMilliseconds: 1_000,
    /** Connections that a VM opens concurrently to one endpoint for all owners together. */
    concurrentOwnerOpenings: 2,
    /** Pause between two passes that open connections ahead of the first statements, in milliseconds. */
    warmupMilliseconds: 100,
    /** Share of an endpoint's connection limit that all VMs together use where there are workspaces. */
    workspaceConnectionShare: 0.9,
    /** Time for which a connection stays after it was opened, whoever else needs one, in milliseconds. */
    minimumResidenceMilliseconds: 100,
    /** Time for which a connection stays that has not served its owner yet, in milliseconds. */
    unservedResidenceMilliseconds: 1_000,
    /** Time between two connections of a pool that yield to less urgent statements, in milliseconds. */
    lessUrgentIntervalMilliseconds: 500,
    /** Idle time after which a connection yields that others would otherwise spare, in milliseconds. */
    soleIdleMilliseconds: 200,
    /** Idle time after which a connection yields to an owner that has as many connections, in milliseconds. */
    abandonedMilliseconds: 2_000,
    /** Share of a VM's connections to an endpoint up to which an owner takes those that others abandoned. */
    largeOwnerShare: 0.5,
    /** Mean time between evictions of a pool, so that openings leave an endpoint's slots to statements, in milliseconds. */
    evictionIntervalMilliseconds: 50,
    /** Time for which a pool's evictions may be ahead of that mean, in milliseconds. */
    evictionAheadMilliseconds: 400,
    /** Interval of looking for a connection to evict while an owner needs one, in milliseconds. */
    evictionPollingMilliseconds: 25,
    /** Pause after a refusal before an idle connection makes room for another one, in milliseconds. */
    replacementPauseMilliseconds: 50,
    /** Priority of a connection that no statement waits for; it yields to any other. */
    aheadPriority: 1_000_000,
    /** Time after which an opening in a workspace's name keeps its statements from no other endpoint, in milliseconds. */
    slowOpeningMilliseconds: 150,
    /** Least time between two log lines on evictions at one endpoint, in milliseconds. */
    evictionLogMilliseconds: 1_000,
    /** Pause of reads at an endpoint that lagged; doubles up to the maximum, in milliseconds. */
    initialLagPauseMilliseconds: 40,
    maximumLagPauseMilliseconds: 400,
    /** Pause of reads at an endpoint that had no free slot, in milliseconds. */
    busyPauseMilliseconds: 20,
    /** Statements that wait for a connection to one group's endpoints at most. */
    maximumWaitingStatements: 2_000,
    /** Interval at which waiting statements are reviewed, in milliseconds. */
    reviewMilliseconds: 25,
    /** Waiting statements with the same needs for which a connection is sought in one turn, beyond those served. */
    attemptsPerNeed: 8,
    /** Least time between two log lines about statements that are refused at once, in milliseconds. */
    refusalLogMilliseconds: 1_000,
    /** Bound of the ratio of expected wait and time left in log lines. */
    maximumLoggedRatio: 1_000,
    /** Weight of the newest latency in the moving average. */
    latencyWeight: 0.2,
    /** Half-life of the average's weight without new observations, in milliseconds. */
    latencyHalfLifeMilliseconds: 1_000,
    /** Latency assumed for an endpoint without observations, by distance, in milliseconds. */
    sameZoneMilliseconds: 20,
    sameRegionMilliseconds: 30,
    otherRegionMilliseconds: 90,
    /** Added to a read's cost at the primary, since only the primary can run writes, in milliseconds. */
    primaryPenaltyMilliseconds: 40,
    /** Prepared statements that are kept on one connection. */
    preparedPerConnection: 200,
} as const;
