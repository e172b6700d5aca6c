import type { RandomSource } from "../../random/types/RandomSource.js";
import type { BackoffOptions } from "../types/BackoffOptions.js";

/**
 * Yields the pauses between attempts: exponential, with full jitter.
 *
 * Each pause is drawn evenly between 0 and a bound that doubles up to the greatest, so that many processes that
 * failed together do not try again together.
 *
 * @param random Source of the jitter.
 * @param options Bounds in milliseconds and the number of pauses.
 * @returns A generator of pauses in milliseconds.
 *
 * @example
 * for (const pause of createBackoff(random, { firstMilliseconds: 20, greatestMilliseconds: 1_000, attempts: 5 })) {
 *     if (await tryOnce()) { return; }
 *     await clock.sleep(pause);
 * }
 */
export function* createBackoff(random: RandomSource, options: BackoffOptions): Generator<number, void, undefined> {
    const { firstMilliseconds, greatestMilliseconds, attempts = Number.POSITIVE_INFINITY } = options;
    let bound = firstMilliseconds;
    for (let attempt = 0; attempt < attempts; attempt += 1) {
        yield random.next() * bound;
        bound = Math.min(2 * bound, greatestMilliseconds);
    }
}
