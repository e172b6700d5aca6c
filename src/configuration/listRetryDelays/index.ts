import type { RandomSource } from "../../random/types/RandomSource.js";
import { configurationConstants } from "../constants.js";

/**
 * Yields the delays of an exponential backoff without end: each is random between half of a limit and the limit, which
 * doubles up to a maximum.
 *
 * @param random Source of the jitter.
 * @returns Delays in milliseconds.
 *
 * @example
 * for (const delay of listRetryDelays(random)) { await clock.sleep(delay); }
 */
export function* listRetryDelays(random: RandomSource): Generator<number, never> {
    const { initialRetryMilliseconds, maximumRetryMilliseconds } = configurationConstants;
    for (let limit: number = initialRetryMilliseconds;; limit = Math.min(limit * 2, maximumRetryMilliseconds)) {
        yield limit / 2 + random.next() * limit / 2;
    }
}
