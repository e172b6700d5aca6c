import type { Clock } from "../../clock/types/Clock.js";
import { requestConstants } from "../constants.js";

/**
 * Yields the time limit of each attempt, so that time is left for the next one and for the confirmation.
 *
 * @param clock Source of time.
 * @param deadlineAt Time of the monotonic clock by which the last attempt and the confirmation must have ended.
 * @param isRepeatable Whether more than one attempt is allowed; a single attempt may use all the time left.
 * @returns A generator of time limits in milliseconds; it ends when the attempts or the time are used up.
 *
 * @example
 * for (const timeoutMilliseconds of listAttemptTimeouts(clock, deadlineAt, true)) { await tryOnce(timeoutMilliseconds); }
 */
export function* listAttemptTimeouts(
    clock: Clock,
    deadlineAt: number,
    isRepeatable: boolean,
): Generator<number, void, undefined> {
    const attempts = isRepeatable ? requestConstants.attempts : 1;
    for (let attempt = 0; attempt < attempts; attempt += 1) {
        const timeLeft = deadlineAt - clock.now();
        const attemptLimit = Math.max(
            requestConstants.attemptShare * timeLeft,
            requestConstants.undividedAttemptMilliseconds,
        );
        const timeout = isRepeatable ? Math.min(attemptLimit, timeLeft) : timeLeft;
        if (timeout < requestConstants.minimumAttemptMilliseconds) {
            return;
        }
        yield timeout;
    }
}
