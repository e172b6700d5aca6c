import { FailureCode } from "../../statements/types/FailureCode.js";
import { createFailure } from "../createFailure/index.js";
import { createRetryPauses } from "../createRetryPauses/index.js";
import type { Attempt } from "../types/Attempt.js";
import { AttemptKind } from "../types/AttemptKind.js";
import type { SessionServices } from "../types/SessionServices.js";
import type { StatementOutcome } from "../types/StatementOutcome.js";

/** Options of `retryAttempts`. */
interface RetryAttemptsOptions {
    /** The group whose endpoints the attempts use. */
    readonly group: string;
    /** Time after which no further attempt begins, on the process's clock in milliseconds. */
    readonly expiresAt: number;
    /** Makes one attempt; `previous` is the outcome of the one before. */
    readonly attempt: (previous: StatementOutcome) => Promise<Attempt>;
    /** Called after each attempt that may be retried. */
    readonly onRetryable: (outcome: StatementOutcome) => void;
}

/**
 * Attempts a statement with backoff until an attempt is final, the time limit has passed or no attempts are left.
 *
 * @param options The time limit, and the function that makes an attempt.
 * @param services Clock, source of randomness, metrics, allowance of retries, and the stop, after whose end of waits nothing is retried.
 * @returns The outcome of the last attempt.
 *
 * @example
 * const outcome = await retryAttempts({ expiresAt, attempt, onRetryable }, services);
 */
export async function retryAttempts(
    options: RetryAttemptsOptions,
    services: Pick<SessionServices, "clock" | "random" | "metrics" | "stop" | "retryAllowance">,
): Promise<StatementOutcome> {
    const { clock, random, metrics, stop, retryAllowance } = services;
    const { group, expiresAt } = options;
    retryAllowance.countStatement(group);
    let last = createFailure(FailureCode.Busy, "no endpoint can serve the statement now");
    for (const pause of createRetryPauses(random)) {
        const attempt = await options.attempt(last);
        const { outcome } = attempt;
        if (attempt.kind === AttemptKind.Final) {
            return outcome;
        }
        last = outcome;
        metrics.countRetry(outcome.failure?.code);
        options.onRetryable(outcome);
        if (clock.now() + pause >= expiresAt || stop.waitsEnd.aborted) {
            break;
        }
        await clock.sleep(pause);
        if (attempt.hadNoSlot === true && !await retryAllowance.waitForRetry(group, expiresAt, stop.waitsEnd)) {
            break;
        }
    }
    return last;
}
