/** A limit on the requests that a process has in flight, adapted to the refusals that they receive. */
export interface AdaptiveLimit {
    /** Counts one more request in flight; returns false if the limit is reached. */
    tryAcquire(): boolean;
    /** Counts one more request in flight, regardless of the limit. */
    acquire(): void;
    /** Time until `tryAcquire` succeeds without a release, in milliseconds; infinite if only a release helps. */
    millisecondsUntilFree(): number;
    /** Counts the request as ended and adapts the limit to its outcome. */
    release(wasRefused: boolean): void;
    /** Counts the request as ended without adapting the limit. */
    cancel(): void;
    /** Replaces the limit, within its bounds. */
    reset(limit: number): void;
    /** Number of requests that may be in flight now, rounded down. */
    limit(): number;
    /** The limit with its fraction. */
    exactLimit(): number;
    countInFlight(): number;
}
