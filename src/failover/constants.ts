/** Constants of the failover service. */
export const failoverConstants = {
    primaryProbeIntervalMilliseconds: 100,
    replicaProbeIntervalMilliseconds: 500,
    statusTimeoutMilliseconds: 200,
    /** Time limit of a fresh connection together with the first status over it. */
    freshProbeTimeoutMilliseconds: 300,
    connectTimeoutMilliseconds: 300,
    firstReconnectDelayMilliseconds: 50,
    longestReconnectDelayMilliseconds: 500,
    /** Silence of the primary after which a replica counts as cut from it. */
    primarySilenceMilliseconds: 400,
    /** How long nobody may reach a primary that some replica still hears. */
    unreachedPersistenceMilliseconds: 1_500,
    /** How long a primary that was found to serve is not suspected again. */
    servingPauseMilliseconds: 1_000,
    /** Gateways asked to probe a suspected primary. */
    indirectProbes: 3,
    peerCallTimeoutMilliseconds: 800,
    fenceTimeoutMilliseconds: 500,
    /** How long further endpoints may answer a fence after a majority did. */
    fenceGraceMilliseconds: 30,
    callTimeoutMilliseconds: 500,
    confirmationTimeoutMilliseconds: 2_000,
    /** Shortest and longest time for which a coordinator that met a higher term stands back. */
    shortestStandBackMilliseconds: 150,
    longestStandBackMilliseconds: 500,
    groupTickMilliseconds: 250,
    shortestPauseMilliseconds: 10,
    /** How long a first start waits for endpoints beyond a majority. */
    firstStartGraceMilliseconds: 1_000,
    repairIntervalMilliseconds: 500,
    /** How long an endpoint may stay fenced above the current term before a new term takes it in. */
    strandedMilliseconds: 3_000,
    /** Entries that a successor may lack when a planned change of primary starts. */
    successorLagEntries: 64,
    plannedChangeIntervalMilliseconds: 1_000,
    coordinatorsPerGroup: 3,
    standbyDelayMilliseconds: 1_500,
    standbyActiveMilliseconds: 30_000,
    reportIntervalMilliseconds: 200,
    /** Spread of the first reservation, for each gateway of the fleet. */
    reservationSpreadMillisecondsPerGateway: 10,
    /** How long a coordinator without terms waits for the store before it asks former coordinators. */
    handOverDelayMilliseconds: 100,
    handOverCheckMilliseconds: 50,
    reservationRetryMilliseconds: 1_000,
    longestReservationRetryMilliseconds: 5_000,
} as const;
