/** What an endpoint stand-in counted since its start. */
export interface EndpointCounters {
    connections: number;
    mostConnections: number;
    refusedConnections: number;
    slotsInUse: number;
    mostSlotsInUse: number;
    statements: number;
    /** Statements and transactions begun on request since the endpoint is leaving. */
    newWorkWhileLeaving: number;
    /** Time from the leaving switch to the last new work after it. */
    lastNewWorkAfterLeavingMilliseconds: number;
}
