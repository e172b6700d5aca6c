/** A limit on the requests that a process has in flight, adapted to the refusals that they receive. */
export interface AdaptiveLimit {
    /** Counts one more request in flight; returns false if the limit is reached. */
    tryAcquire(): boolean;
    /** Counts the request as ended and adapts the limit to its outcome. */
    release(wasRefused: boolean): void;
    /** Number of requests that may be in flight now. */
    limit(): number;
    countInFlight(): number;
}
