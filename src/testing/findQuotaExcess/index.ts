import type { QuotaExcess } from "../../quotas/types/QuotaExcess.js";
import type { Quota } from "../../workspaces/types/Quota.js";

/**
 * Finds the window in which most operations were admitted beyond what a quota and its excess allow.
 *
 * @param admittedAt Times of the admitted operations in milliseconds, ascending.
 * @param quota The quota.
 * @param excess The excess.
 * @returns How many operations beyond the bound; 0 or less when it held.
 *
 * @example
 * findQuotaExcess(fleet.admittedAt, quota, excess) <= 0;
 */
export function findQuotaExcess(admittedAt: readonly number[], quota: Quota, excess: QuotaExcess): number {
    const { windowMilliseconds, share, operations } = excess;
    const admitted = quota.operationsPerSecond * windowMilliseconds / 1_000 + quota.burstOperations;
    const bound = admitted * (1 + share) + operations;
    let first = 0;
    let most = 0;
    admittedAt.forEach((at, index) => {
        while (at - admittedAt[first]! > windowMilliseconds) {
            first += 1;
        }
        most = Math.max(most, index - first + 1);
    });
    return most - bound;
}
