import type { RandomSource } from "../../random/types/RandomSource.js";
import type { BackoffOptions } from "../types/BackoffOptions.js";

/**
 * Yields the pauses between attempts: exponential, with full jitter.
 *
 * Each pause is uniformly distributed between 0 and a bound that doubles up to the maximum, so that processes that
 * failed at the same time do not retry at the same time.
 *
 * @param random Source of the jitter.
 * @param options Bounds in milliseconds and the number of pauses.
 * @returns A generator of pauses in milliseconds.
 *
 * @example
 * for (const pause of createBackoff(random, { initialMilliseconds: 20, maximumMilliseconds: 1_000, attempts: 5 })) {
 *     if (await attempt()) { return; }
 *     await clock.sleep(pause);
 * }
 */
export function* createBackoff(random: RandomSource, options: BackoffOptions): Generator<number, void, undefined> {
    const {
        initialMilliseconds,
        maximumMilliseconds,
        attempts = Number.POSITIVE_INFINITY,
    } = options;
    let bound = initialMilliseconds;
    for (let attempt = 0; attempt < attempts; attempt += 1) {
        yield random.next() * bound;
        bound = Math.min(2 * bound, maximumMilliseconds);
    }
}
