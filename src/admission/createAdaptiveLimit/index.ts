import type { Clock } from "../../clock/types/Clock.js";
import { admissionConstants } from "../constants.js";
import type { AdaptiveLimit } from "../types/AdaptiveLimit.js";

/**
 * Creates a limit on requests in flight that adapts to refusals: additive increase, multiplicative decrease (AIMD).
 *
 * As many successful requests as the limit allows in flight raise it by one. A refusal multiplies it by
 * `decreaseFactor`, at most once per `decreaseIntervalMilliseconds`, so that the refusals of one burst count as one.
 * The limit grows only while at least half of it is in use.
 *
 * @param clock Source of time.
 * @returns The limit, at its initial value.
 *
 * @example
 * if (!limit.tryAcquire()) { return createNotRun(NotRunReason.Overloaded, message); }
 * const reply = await send();
 * limit.release(reply.outcome === OutcomeKind.NotRun && reply.reason === NotRunReason.Overloaded);
 */
export function createAdaptiveLimit(clock: Clock): AdaptiveLimit {
    const {
        initialLimit,
        minimumLimit,
        maximumLimit,
        decreaseFactor,
        decreaseIntervalMilliseconds,
    } = admissionConstants;
    let limit: number = initialLimit;
    let requestsInFlight = 0;
    let decreasedAt = -Infinity;

    function tryAcquire(): boolean {
        if (requestsInFlight >= Math.floor(limit)) {
            return false;
        }
        requestsInFlight += 1;
        return true;
    }

    function release(wasRefused: boolean): void {
        const isUsed = requestsInFlight >= limit / 2;
        requestsInFlight -= 1;
        if (!wasRefused) {
            limit = isUsed ? Math.min(limit + 1 / limit, maximumLimit) : limit;
        }
        else if (clock.now() - decreasedAt >= decreaseIntervalMilliseconds) {
            decreasedAt = clock.now();
            limit = Math.max(limit * decreaseFactor, minimumLimit);
        }
    }

    return {
        tryAcquire,
        release,
        limit: () => Math.floor(limit),
        countInFlight: () => requestsInFlight,
    };
}
