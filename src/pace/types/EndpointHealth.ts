import type { StatementEnd } from "./StatementEnd.js";

/** Whether an endpoint is set aside, judged by its answers. */
export interface EndpointHealth {
    /** Records how a statement ended. */
    record(end: StatementEnd): void;
    /** Failure rate from 0 to 1; undefined with too few statements to compare. */
    failureRate(): number | undefined;
    /** Cost of its failures beyond the failure rate of others, in milliseconds. */
    penaltyMilliseconds(othersRate: number): number;
    /** Sets the endpoint aside if its failure rate is above that of others; returns whether it did. */
    trySetAside(othersRate: number): boolean;
    isSetAside(): boolean;
    /** Failure rate with which it was set aside, from 0 to 1. */
    rateWhenSetAside(): number;
    /** Whether a probe may be sent now. */
    isProbeDue(): boolean;
    /** Whether the last probe was good, so that the next one is likely to be and needs no grant. */
    isReturning(): boolean;
    /** Records that a probe is being sent. */
    beginProbe(): void;
    /** Records how a probe ended; returns whether the endpoint returns to service with it. */
    endProbe(end: StatementEnd): boolean;
    /** The endpoint has started anew: it returns to service, unless it was set aside several times of late. */
    restart(): void;
    /** Returns the endpoint to service. */
    returnToService(): void;
    /** Time for which it was set aside last, in milliseconds. */
    holdMilliseconds(): number;
}
