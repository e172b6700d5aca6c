/** Constants of the failover service. */
export const failoverConstants = {
    primaryProbeIntervalMilliseconds: 100,
    replicaProbeIntervalMilliseconds: 500,
    statusTimeoutMilliseconds: 200,
    /** Time limit of a fresh connection together with the first status over it. */
    freshProbeTimeoutMilliseconds: 300,
    connectTimeoutMilliseconds: 300,
    initialReconnectDelayMilliseconds: 50,
    maximumReconnectDelayMilliseconds: 500,
    /** Time since a replica's last contact with the primary after which the replica counts as disconnected from it. */
    primaryContactTimeoutMilliseconds: 400,
    /** Time after which an unreachable primary counts as failed although a replica is in contact with it. */
    unreachableToleranceMilliseconds: 1_500,
    /** Time for which a primary that was found to serve is not suspected again. */
    suspicionPauseMilliseconds: 1_000,
    /** Number of gateways requested to probe a suspected primary. */
    indirectProbeCount: 3,
    peerCallTimeoutMilliseconds: 800,
    fenceTimeoutMilliseconds: 500,
    /** Time for which a fence waits for further endpoints after a majority answered. */
    fenceGraceMilliseconds: 30,
    callTimeoutMilliseconds: 500,
    confirmationTimeoutMilliseconds: 2_000,
    /** Bounds of a coordinator's random backoff after a higher term or a failed promotion. */
    minimumBackoffMilliseconds: 150,
    maximumBackoffMilliseconds: 500,
    groupTickMilliseconds: 250,
    minimumPauseMilliseconds: 10,
    /** Time for which the first start of a group waits for endpoints beyond a majority. */
    firstStartGraceMilliseconds: 1_000,
    repairIntervalMilliseconds: 500,
    /** Time after which an endpoint fenced above the recorded term is brought back into the group by a new term. */
    fencedAheadToleranceMilliseconds: 3_000,
    /** Number of entries that a successor may lack when a planned change of primary starts. */
    successorLagEntries: 64,
    plannedChangeIntervalMilliseconds: 1_000,
    coordinatorsPerGroup: 3,
    standbyDelayMilliseconds: 1_500,
    standbyActiveMilliseconds: 30_000,
    reportIntervalMilliseconds: 200,
    /** Upper bound of the first reservation's random delay, for each gateway of the fleet. */
    reservationSpreadMillisecondsPerGateway: 10,
    /** Time for which a coordinator without terms waits for the store before it queries former coordinators. */
    handOverDelayMilliseconds: 100,
    handOverCheckMilliseconds: 50,
    reservationRetryMilliseconds: 1_000,
    maximumReservationRetryMilliseconds: 5_000,
} as const;
