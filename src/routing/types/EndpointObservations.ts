/** What an entry has learned of endpoints from answers. It orders candidates and is never trusted for correctness. */
export interface EndpointObservations {
    /** Notes a position that is known to be committed in the database's log. */
    noteCommitted(database: string, position: number): void;
    /** Notes the position that an endpoint has applied. */
    noteApplied(database: string, endpoint: string, position: number): void;
    /** Notes how long a request to an endpoint took, without its wait for the position. */
    noteLatency(endpoint: string, milliseconds: number): void;
    /** Notes that an endpoint could not be used. */
    noteFailure(endpoint: string): void;
    hasApplied(endpoint: string, position: number): boolean;
    /** Time until the endpoint is expected to have applied the position. */
    expectedWaitMilliseconds(database: string, endpoint: string, position: number): number;
    /** Expected time of a request without waiting; undefined while nothing was observed. */
    expectedLatencyMilliseconds(endpoint: string): number | undefined;
    hasFailedRecently(endpoint: string): boolean;
}
