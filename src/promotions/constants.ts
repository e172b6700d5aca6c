/** Constants of changes of the primary. */
export const promotionConstants = {
    /** Interval at which the holder checks each group, in milliseconds. */
    checkIntervalMilliseconds: 100,
    /** A primary that answered this recently is not queried, in milliseconds. */
    recentAnswerMilliseconds: 300,
    /** Timeout of a query or an order to an endpoint, in milliseconds. */
    queryTimeoutMilliseconds: 400,
    /** Time without a known primary after which an endpoint of the group is promoted, in milliseconds. */
    missingPrimaryMilliseconds: 1_000,
    /** Time that open transactions have to end before a planned change, in milliseconds. */
    drainMilliseconds: 250,
    /** Time that the successor has to receive the end of the primary's log, in milliseconds. */
    catchUpMilliseconds: 800,
    /**
     * Time for which a group stays without a primary while only logs of an earlier term than its own can be promoted, in
     * milliseconds: an endpoint that crashed may come back with the newest log.
     */
    newestLogWaitMilliseconds: 8_000,
    /** Time without an attempt after which such a wait counts anew, in milliseconds. */
    newestLogWaitGapMilliseconds: 5_000,
    /** Polling interval while waiting for a condition, in milliseconds. */
    pollingMilliseconds: 25,
    /** Timeout of an order to promote, in milliseconds. */
    orderTimeoutMilliseconds: 2_000,
    /** No promotion is ordered when the verification before it took longer than this, in milliseconds. */
    maximumVerificationMilliseconds: 500,
    /** Time after which an order to promote that has been received has taken effect, in milliseconds. */
    longestPromotionMilliseconds: 1_000,
    /** Time that the promoted endpoint has to become the primary, in milliseconds. */
    promotionTimeoutMilliseconds: 3_500,
    /**
     * Time for which a change whose end is unknown is left alone, in milliseconds: longer than an order to promote takes
     * and than the leases of a previous holder last.
     */
    settlementMilliseconds: 3_000,
    /** Pause before a failed change is attempted again, in milliseconds. */
    retryMilliseconds: 400,
    /** Time for which an unreachable superseded primary is repeatedly ordered to step down, in milliseconds. */
    stepDownMilliseconds: 10_000,
    /** Share of the grace time that a stopping VM has to finish a change and to hand over the failover duty. */
    departureGraceShare: 0.85,
    /** Polling interval of a stopping VM, in milliseconds. */
    departurePollingMilliseconds: 50,
    /** Time for which a stopping VM that has just become the holder tries to confirm the primaries, in milliseconds. */
    confirmationMilliseconds: 1_000,
    /** Name of the object in the platform's store that records the members of groups. */
    membersRecordName: "members",
    /** Name of the object in the platform's store that records the endpoints that all VMs know. */
    sharedEndpointsRecordName: "shared-endpoints",
    /**
     * Time after which an endpoint counts as known to all VMs, in milliseconds: longer than a VM without contact to the
     * holder verifies primaries by itself, and a record needs to reach the others.
     */
    sharedEndpointMilliseconds: 70_000,
    /** Time between two updates of that object at least, in milliseconds. */
    sharedEndpointsIntervalMilliseconds: 1_000,
    /** Pause before a record of the holder is read or written again after a failure, in milliseconds. */
    recordRetryMilliseconds: 400,
    /** Interval at which a group with absent members is checked, in milliseconds. */
    memberCheckMilliseconds: 500,
    /** Pause between two orders to a superseded primary to step down, in milliseconds. */
    stepDownPauseMilliseconds: 300,
} as const;
