/**
 * Finds the share of one demand of an amount that is shared max-min fair: no demand gets more than it asks for, and what
 * is left by the small ones goes to the others alike.
 *
 * @param amount The amount to share.
 * @param demands All demands, with the one in question.
 * @param own The demand in question.
 * @returns Its share.
 *
 * @example
 * findFairShare(10, [2, 20, 4], 20); // => 4
 */
export function findFairShare(amount: number, demands: readonly number[], own: number): number {
    const ascending = Float64Array.from(demands).sort();
    let left = Math.max(amount, 0);
    for (const [rank, demand] of ascending.entries()) {
        const evenShare = left / (ascending.length - rank);
        if (demand >= evenShare) {
            return Math.min(own, evenShare);
        }
        left -= demand;
    }
    return own;
}
