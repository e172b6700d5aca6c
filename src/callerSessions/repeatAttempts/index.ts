import { FailureCode } from "../../statements/types/FailureCode.js";
import { createFailure } from "../createFailure/index.js";
import { createRetryPauses } from "../createRetryPauses/index.js";
import type { Attempt } from "../types/Attempt.js";
import { AttemptKind } from "../types/AttemptKind.js";
import type { SessionServices } from "../types/SessionServices.js";
import type { StatementOutcome } from "../types/StatementOutcome.js";

/** Options of `repeatAttempts`. */
interface RepeatAttemptsOptions {
    /** When the last attempt may begin, on the process's clock in milliseconds. */
    readonly expiresAt: number;
    /** Makes one attempt; `previous` is the outcome of the one before. */
    readonly attempt: (previous: StatementOutcome) => Promise<Attempt>;
    /** Told of each attempt that did not settle the statement. */
    readonly onRepeatable: (outcome: StatementOutcome) => void;
}

/**
 * Makes attempts of a statement, with growing pauses, until one settles it or its time is over.
 *
 * @param options The time limit and how an attempt is made.
 * @param services Clock, source of randomness and metrics.
 * @returns What the caller is told: the outcome of the last attempt.
 *
 * @example
 * const outcome = await repeatAttempts({ expiresAt, attempt, onRepeatable }, services);
 */
export async function repeatAttempts(
    options: RepeatAttemptsOptions,
    services: Pick<SessionServices, "clock" | "random" | "metrics">,
): Promise<StatementOutcome> {
    const { clock, random, metrics } = services;
    let last = createFailure(FailureCode.Busy, "no endpoint can serve this now");
    for (const pause of createRetryPauses(random)) {
        const { kind, outcome } = await options.attempt(last);
        if (kind === AttemptKind.Final) {
            return outcome;
        }
        last = outcome;
        metrics.countRetry(outcome.failure?.code);
        options.onRepeatable(outcome);
        if (clock.now() + pause >= options.expiresAt) {
            break;
        }
        await clock.sleep(pause);
    }
    return last;
}
