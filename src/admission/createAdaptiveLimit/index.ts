import type { Clock } from "../../clock/types/Clock.js";
import { admissionConstants } from "../constants.js";
import type { AdaptiveLimit } from "../types/AdaptiveLimit.js";
import type { AdaptiveLimitSettings } from "../types/AdaptiveLimitSettings.js";

/**
 * Creates a limit on requests in flight that adapts to refusals: additive increase, multiplicative decrease (AIMD).
 *
 * As many successful requests as the limit allows in flight raise it by one. A refusal multiplies it by
 * `decreaseFactor`, at most once per `decreaseIntervalMilliseconds`, so that the refusals of one burst count as one.
 * The limit grows only while at least half of it is in use.
 *
 * @param clock Source of time.
 * @param settings Bounds and steps; those of the requests of an entry when left out.
 * @returns The limit, at its initial value.
 *
 * @example
 * if (!limit.tryAcquire()) { return createNotRun(NotRunReason.Overloaded, message); }
 * const reply = await send();
 * limit.release(reply.outcome === OutcomeKind.NotRun && reply.reason === NotRunReason.Overloaded);
 */
export function createAdaptiveLimit(
    clock: Clock,
    settings: AdaptiveLimitSettings = admissionConstants,
): AdaptiveLimit {
    const { minimumLimit, maximumLimit, requestMilliseconds } = settings;
    const increaseRequests = settings.increaseRequests ?? 1;
    let limit = settings.initialLimit;
    let requestsInFlight = 0;
    let decreasedAt = -Infinity;
    /** When a request beyond the whole ones started last. */
    let fractionUsedAt = -Infinity;

    /** Interval at which requests beyond the whole ones may start, in milliseconds. */
    function fractionInterval(): number {
        return (requestMilliseconds?.() ?? Infinity) / (limit - Math.floor(limit));
    }

    function millisecondsUntilFree(): number {
        const wholeRequests = Math.floor(limit);
        if (requestsInFlight < wholeRequests) {
            return 0;
        }
        if (requestsInFlight > wholeRequests || fractionInterval() === Infinity) {
            return Infinity;
        }
        return Math.max(fractionUsedAt + fractionInterval() - clock.now(), 0);
    }

    function tryAcquire(): boolean {
        if (millisecondsUntilFree() > 0) {
            return false;
        }
        acquire();
        return true;
    }

    function acquire(): void {
        if (requestsInFlight >= Math.floor(limit)) {
            fractionUsedAt = clock.now();
        }
        requestsInFlight += 1;
    }

    function release(wasRefused: boolean): void {
        const isUsed = requestsInFlight >= limit / 2;
        requestsInFlight -= 1;
        if (!wasRefused) {
            limit = isUsed ? Math.min(limit + increaseRequests / Math.max(limit, 1), maximumLimit) : limit;
        }
        else if (clock.now() - decreasedAt >= settings.decreaseIntervalMilliseconds) {
            decreasedAt = clock.now();
            limit = Math.max(limit * settings.decreaseFactor, minimumLimit);
        }
    }

    return {
        tryAcquire,
        acquire,
        millisecondsUntilFree,
        release,
        cancel: () => {
            requestsInFlight -= 1;
        },
        reset: next => {
            limit = Math.min(Math.max(next, minimumLimit), maximumLimit);
        },
        limit: () => Math.floor(limit),
        exactLimit: () => limit,
        countInFlight: () => requestsInFlight,
    };
}
