import { admissionConstants } from "../constants.js";
import type { RetryBudget } from "../types/RetryBudget.js";

/**
 * Creates a retry budget, which prevents retries from amplifying an overload.
 *
 * Each first attempt adds a share of a retry to the balance of its key. The balance starts at its maximum, so that
 * infrequent requests can be retried too.
 *
 * @param share Share of a retry added by each request, from 0 to 1; read at each request.
 * @param maximumRetryBalance Maximum balance of a key, in retries.
 * @returns The budget.
 *
 * @example
 * budget.countRequest("stock-1");
 * if (isAnswerLost && budget.tryConsumeRetry("stock-1")) { await retry(); }
 */
export function createRetryBudget(
    share: () => number,
    maximumRetryBalance: number = admissionConstants.maximumRetryBalance,
): RetryBudget {
    const { maximumTrackedBudgets } = admissionConstants;
    const balances = new Map<string, number>();

    function countRequest(key: string): void {
        setBalance(key, Math.min(getBalance(key) + share(), maximumRetryBalance));
    }

    function tryConsumeRetry(key: string): boolean {
        const balance = getBalance(key);
        if (balance < 1) {
            return false;
        }
        setBalance(key, balance - 1);
        return true;
    }

    function getBalance(key: string): number {
        return balances.get(key) ?? maximumRetryBalance;
    }

    function setBalance(key: string, balance: number): void {
        balances.delete(key);
        balances.set(key, balance);
        if (balances.size > maximumTrackedBudgets) {
            balances.delete(balances.keys().next().value!);
        }
    }

    return { countRequest, tryConsumeRetry };
}
