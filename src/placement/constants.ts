/** Constants of placing statements on endpoints. */
export const placementConstants = {
    /** Time limit for opening a connection, in milliseconds. */
    openMilliseconds: 1_500,
    /** Pause after a connection could not be opened; doubles up to the greatest, in milliseconds. */
    firstReopenMilliseconds: 100,
    greatestReopenMilliseconds: 1_000,
    /** Pause after the endpoint accepted no further connection, in milliseconds. */
    connectionLimitMilliseconds: 400,
    /** Share of an endpoint's connection limit that all VMs together use; a restart finds the rest free. */
    connectionShare: 0.6,
    /** Share that they use when it is needed for the least number of connections each. */
    greatestConnectionShare: 0.95,
    /** Connections of a VM that let a statement pass while another one's transaction rests. */
    leastConnections: 2,
    /** Connections that a VM opens at once to one endpoint, so that many VMs that start together all get some. */
    openingsAtOnce: 1,
    /** Most connections of one VM to one endpoint: more would only queue at the endpoint. */
    greatestConnections: 6,
    /** Pause of reads at an endpoint that lagged; doubles up to the greatest, in milliseconds. */
    firstLagMilliseconds: 40,
    greatestLagMilliseconds: 400,
    /** Pause after an endpoint had no slot, in milliseconds. */
    busyMilliseconds: 20,
    /** Weight of the newest latency in the moving average. */
    latencyWeight: 0.2,
    /** The average forgets an old observation at this rate, in milliseconds. */
    latencyHalfLifeMilliseconds: 1_000,
    /** Round trip and work assumed of an endpoint that was not observed, by distance, in milliseconds. */
    sameZoneMilliseconds: 20,
    sameRegionMilliseconds: 30,
    otherRegionMilliseconds: 90,
    /** Added to a read's cost at the primary, which alone can take writes, in milliseconds. */
    primaryPenaltyMilliseconds: 40,
    /** Prepared statements that are kept on one connection. */
    preparedPerConnection: 200,
} as const;
