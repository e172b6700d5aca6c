import type { RandomSource } from "../../random/types/RandomSource.js";
import { termConstants } from "../constants.js";

/**
 * Lists the delays between attempts: exponential, each reduced by a random share of up to a half.
 *
 * @param random Source of the jitter.
 * @returns Yields each delay in milliseconds; ends after the last attempt.
 *
 * @example
 * for (const delay of listRetryDelays(random)) { await clock.sleep(delay); }
 */
export function* listRetryDelays(random: RandomSource): Generator<number> {
    let ceiling: number = termConstants.initialRetryDelayMilliseconds;
    for (let attempt = 1; attempt < termConstants.retryAttempts; attempt += 1) {
        yield ceiling * (0.5 + random.next() / 2);
        ceiling = Math.min(ceiling * 2, termConstants.maximumRetryDelayMilliseconds);
    }
}
