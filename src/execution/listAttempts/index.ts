import { executionConstants } from "../constants.js";
import type { Deadline } from "../types/Deadline.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";

/** Options of `listAttempts`. */
interface ListAttemptsOptions {
    readonly context: ExecutionContext;
    readonly database: string;
    readonly deadline: Deadline;
}

/**
 * Yields the attempts of one request: the first at once, each later one after a jittered backoff, or as soon as a
 * newer term of the database's group is known. Retries in the same term count against the retry budget; while that is
 * used up, only a newer term starts an attempt.
 *
 * @param options Context, database and deadline.
 * @returns Yields the number of each attempt, from 0, until the deadline.
 *
 * @example
 * for await (const attempt of listAttempts({ context, database, deadline })) { ... }
 */
export async function* listAttempts(options: ListAttemptsOptions): AsyncGenerator<number> {
    const { context, database, deadline } = options;
    const {
        initialRetryDelayMilliseconds: firstRetryDelayMilliseconds,
        maximumRetryDelayMilliseconds: longestRetryDelayMilliseconds,
    } = executionConstants;
    let attemptedTerm: number | undefined;
    context.retryBudget.countRequest(database);
    for (let attempt = 0; !deadline.isExpired(); attempt += 1) {
        const term = context.topology.groupOf(database)?.term ?? 0;
        if (term !== attemptedTerm || context.retryBudget.tryConsumeRetry(database)) {
            attemptedTerm = term;
            yield attempt;
        }
        const ceiling = Math.min(longestRetryDelayMilliseconds, firstRetryDelayMilliseconds * 2 ** attempt);
        const delayMilliseconds = ceiling * (0.5 + context.random.next() / 2);
        await context.topology.waitForTerm(database, term + 1, Math.min(delayMilliseconds, deadline.timeLeft()));
    }
}
