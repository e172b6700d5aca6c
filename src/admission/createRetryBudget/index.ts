import { admissionConstants } from "../constants.js";
import type { RetryBudget } from "../types/RetryBudget.js";

/**
 * Creates a retry budget, so that retries cannot become the load.
 *
 * Each first attempt earns a share of a retry; what was earned is kept up to a bound, so rare requests may retry too.
 *
 * @param share Retries allowed for each request, from 0 to 1; read at each request.
 * @returns The budget.
 *
 * @example
 * budget.countRequest("stock-1");
 * if (lost && budget.tryRetry("stock-1")) { await tryAgain(); }
 */
export function createRetryBudget(share: () => number): RetryBudget {
    const { retryReserve, rememberedBudgets } = admissionConstants;
    const balances = new Map<string, number>();

    function countRequest(key: string): void {
        store(key, Math.min(balanceOf(key) + share(), retryReserve));
    }

    function tryRetry(key: string): boolean {
        const balance = balanceOf(key);
        if (balance < 1) {
            return false;
        }
        store(key, balance - 1);
        return true;
    }

    function balanceOf(key: string): number {
        return balances.get(key) ?? retryReserve;
    }

    function store(key: string, balance: number): void {
        balances.delete(key);
        balances.set(key, balance);
        if (balances.size > rememberedBudgets) {
            balances.delete(balances.keys().next().value!);
        }
    }

    return { countRequest, tryRetry };
}
