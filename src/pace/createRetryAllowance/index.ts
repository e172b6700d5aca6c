import { createRetryBudget } from "../../admission/createRetryBudget/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { paceConstants } from "../constants.js";
import type { RetryAllowance } from "../types/RetryAllowance.js";

/**
 * Creates the allowance of retries after an endpoint had no slot: a share of a group's statements, and a number per second.
 *
 * A retry beyond it waits until its time limit: the statement is not refused sooner, but the load is not multiplied.
 *
 * @param clock Source of time.
 * @param isControlled Whether the load of a group is controlled; elsewhere every retry is allowed.
 * @returns The allowance, with a reserve.
 *
 * @example
 * if (await allowance.waitForRetry("orders", expiresAt, signal)) { ... }
 */
export function createRetryAllowance(
    clock: Clock,
    isControlled: (group: string) => boolean = () => true,
): RetryAllowance {
    const { busyRetryShare, busyRetriesPerSecond, busyRetryWaitMilliseconds, millisecondsPerSecond } = paceConstants;
    const creditedAt = new Map<string, number>();
    let credit = 0;
    const budget = createRetryBudget(() => credit);

    /** Credits the retries that are allowed since the last credit, and those for a number of statements. */
    function addCredit(group: string, statements: number): void {
        const now = clock.now();
        const elapsed = now - (creditedAt.get(group) ?? now);
        creditedAt.set(group, now);
        credit = elapsed * busyRetriesPerSecond / millisecondsPerSecond + statements * busyRetryShare;
        budget.countRequest(group);
    }

    function tryRetry(group: string): boolean {
        addCredit(group, 0);
        return budget.tryConsumeRetry(group);
    }

    return {
        countStatement: group => addCredit(group, 1),
        waitForRetry: async (group, expiresAt, signal) => {
            while (isControlled(group) && !tryRetry(group)) {
                if (clock.now() + busyRetryWaitMilliseconds >= expiresAt || signal.aborted) {
                    return false;
                }
                await clock.sleep(busyRetryWaitMilliseconds);
            }
            return true;
        },
    };
}
