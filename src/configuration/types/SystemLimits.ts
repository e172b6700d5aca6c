/** Limits that operators can change through patches. */
export interface SystemLimits {
    readonly requestBytes: number;
    readonly defaultDeadlineMilliseconds: number;
    readonly replicaWaitMilliseconds: number;
    readonly queueLengthPerEndpoint: number;
    /** Maximum number of retries, as a share of the requests. */
    readonly retryBudgetShare: number;
    /** Share of an endpoint's connections that the owner may open. */
    readonly ownerConnectionShare: number;
    /** Maximum bytes per second on the link between two regions, in each direction. */
    readonly regionLinkBytesPerSecond: number;
}
