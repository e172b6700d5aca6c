import type { RandomSource } from "../../random/types/RandomSource.js";
import { configurationConstants } from "../constants.js";

/**
 * Yields pauses between retries: doubled each time up to a limit, with full jitter. Never ends.
 *
 * @param random Source of the jitter.
 * @returns Pauses in milliseconds.
 *
 * @example
 * for (const delay of listRetryDelays(random)) { await clock.sleep(delay); }
 */
export function* listRetryDelays(random: RandomSource): Generator<number, never> {
    const { firstRetryMilliseconds, longestRetryMilliseconds } = configurationConstants;
    for (let limit: number = firstRetryMilliseconds;; limit = Math.min(limit * 2, longestRetryMilliseconds)) {
        yield limit / 2 + random.next() * limit / 2;
    }
}
