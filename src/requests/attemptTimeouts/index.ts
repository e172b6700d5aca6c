import type { Clock } from "../../clock/types/Clock.js";
import { requestConstants } from "../constants.js";

/**
 * Yields the time limit of each attempt, so that time is left for the next one and for the confirmation.
 *
 * @param clock Source of time.
 * @param deadlineAt Reading of the clock by which everything has to be over.
 * @param isRepeatable Whether more than one attempt is allowed; a single one is given all the time left.
 * @returns A generator of time limits in milliseconds; it ends when the attempts or the time are used up.
 *
 * @example
 * for (const timeoutMilliseconds of attemptTimeouts(clock, deadlineAt, true)) { await tryOnce(timeoutMilliseconds); }
 */
export function* attemptTimeouts(
    clock: Clock,
    deadlineAt: number,
    isRepeatable: boolean,
): Generator<number, void, undefined> {
    const attempts = isRepeatable ? requestConstants.attempts : 1;
    for (let attempt = 0; attempt < attempts; attempt += 1) {
        const left = deadlineAt - clock.now();
        const shared = Math.max(requestConstants.attemptShare * left, requestConstants.undividedAttemptMilliseconds);
        const timeout = isRepeatable ? Math.min(shared, left) : left;
        if (timeout < requestConstants.leastAttemptMilliseconds) {
            return;
        }
        yield timeout;
    }
}
