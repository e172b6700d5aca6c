import type { Clock } from "../../clock/types/Clock.js";
import { admissionConstants } from "../constants.js";
import type { AdaptiveLimit } from "../types/AdaptiveLimit.js";

/**
 * Creates a limit on requests under way that follows the refusals: additive increase, multiplicative decrease.
 *
 * A round of requests without a refusal raises the limit by one. A refusal lowers it by a share, at most once in a
 * pause, so that the refusals of one round count as one. The limit grows only while it is used.
 *
 * @param clock Source of time.
 * @returns The limit, at its start value.
 *
 * @example
 * if (!limit.tryEnter()) { return createNotRun(NotRunReason.Overloaded, message); }
 * const reply = await send();
 * limit.leave(reply.outcome === OutcomeKind.NotRun && reply.reason === NotRunReason.Overloaded);
 */
export function createAdaptiveLimit(clock: Clock): AdaptiveLimit {
    const { startLimit, leastLimit, greatestLimit, decreaseFactor, decreasePauseMilliseconds } = admissionConstants;
    let limit: number = startLimit;
    let underWay = 0;
    let decreasedAt = -Infinity;

    function tryEnter(): boolean {
        if (underWay >= Math.floor(limit)) {
            return false;
        }
        underWay += 1;
        return true;
    }

    function leave(wasRefused: boolean): void {
        const isUsed = underWay >= limit / 2;
        underWay -= 1;
        if (!wasRefused) {
            limit = isUsed ? Math.min(limit + 1 / limit, greatestLimit) : limit;
        }
        else if (clock.now() - decreasedAt >= decreasePauseMilliseconds) {
            decreasedAt = clock.now();
            limit = Math.max(limit * decreaseFactor, leastLimit);
        }
    }

    return { tryEnter, leave, limit: () => Math.floor(limit), underWay: () => underWay };
}
