/** Requirements of a statement or transaction on its endpoint and connection. */
export interface PlacementRequest {
    readonly group: string;
    readonly needsPrimary: boolean;
    /**
     * Name under which the connection was opened: a workspace, or `anonymousOwner`. When left out, any connection serves
     * the request; only statements of this program itself leave it out.
     */
    readonly owner?: string;
    /** Id of a specific endpoint, regardless of its role and state; when left out, any endpoint of the group. */
    readonly endpointId?: string;
    /** Lower is more urgent; 0 is the most urgent priority of a route. */
    readonly priority: number;
    /** Time after which the request is refused, on the process's clock in milliseconds. */
    readonly expiresAt: number;
    /** Time by which the operation should end, on the same clock; left out when it has no target latency. */
    readonly targetAt?: number;
    /** Ends the wait; the request is then refused. */
    readonly signal?: AbortSignal;
    /** Ids of endpoints that are not used, because an earlier attempt failed there. */
    readonly excluded: ReadonlySet<string>;
    /** Session values that the connection needs; a connection that already has them is preferred. */
    readonly values: ReadonlyMap<string, string>;
}
