import type { RandomSource } from "../../random/types/RandomSource.js";
import { createBackoff } from "../../retries/createBackoff/index.js";
import { callerSessionConstants } from "../constants.js";

/**
 * Creates the backoff between the attempts of one statement.
 *
 * @param random Source of the jitter.
 * @returns A generator of pauses in milliseconds.
 *
 * @example
 * for (const pause of createRetryPauses(random)) { ... }
 */
export function createRetryPauses(random: RandomSource): Generator<number, void, undefined> {
    return createBackoff(random, {
        initialMilliseconds: callerSessionConstants.initialRetryMilliseconds,
        maximumMilliseconds: callerSessionConstants.maximumRetryMilliseconds,
        attempts: callerSessionConstants.maximumAttempts,
    });
}
