/** Observations of endpoints, derived by an entry from replies. They order candidates; no guarantee depends on them. */
export interface EndpointObservations {
    /** Records a position that is known to be committed in the database's log. */
    recordCommitted(database: string, position: number): void;
    /** Records the position that an endpoint has applied. */
    recordApplied(database: string, endpoint: string, position: number): void;
    /** Records how long a request to an endpoint took; only for requests that did not wait for a position. */
    recordLatency(endpoint: string, milliseconds: number): void;
    /** Records that a request to an endpoint, or to a gateway of that name, failed. */
    recordFailure(endpoint: string): void;
    hasApplied(endpoint: string, position: number): boolean;
    /** Time until the endpoint is expected to have applied the position. */
    expectedWaitMilliseconds(database: string, endpoint: string, position: number): number;
    /** Average time of requests that did not wait; undefined before the first observation. */
    averageLatencyMilliseconds(endpoint: string): number | undefined;
    hasFailedRecently(endpoint: string): boolean;
}
