/** Limits that operators may patch. */
export interface SystemLimits {
    readonly requestBytes: number;
    readonly defaultDeadlineMilliseconds: number;
    readonly replicaWaitMilliseconds: number;
    readonly queueLengthPerEndpoint: number;
    /** Retries allowed as a share of requests. */
    readonly retryBudgetShare: number;
    /** Share of an endpoint's connections that its owner may open. */
    readonly ownerConnectionShare: number;
    /** Bytes a second that this system may use on one region link, each way. */
    readonly regionLinkBytesPerSecond: number;
}
