/** Counters of an endpoint stand-in since its start. */
export interface EndpointCounters {
    connections: number;
    mostConnections: number;
    refusedConnections: number;
    slotsInUse: number;
    mostSlotsInUse: number;
    statements: number;
    /** Statements and transactions that were requested while the endpoint was leaving. */
    newWorkWhileLeaving: number;
    /** Time from setting the leaving switch to the last such statement or transaction. */
    lastNewWorkAfterLeavingMilliseconds: number;
}
