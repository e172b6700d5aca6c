/**
 * Shares an amount among demands, max-min fair: no demand gets more than it asks for, and what is left by the small ones
 * goes to the others alike.
 *
 * @param amount The amount to share.
 * @param demands The demands.
 * @returns The share of each demand, in the same order.
 *
 * @example
 * shareFairly(10, [2, 20, 4]); // => [2, 4, 4]
 */
export function shareFairly(amount: number, demands: readonly number[]): readonly number[] {
    const shares = demands.map(() => 0);
    const ascending = demands
        .map((demand, index) => ({ demand, index }))
        .sort((left, right) => left.demand - right.demand);
    let left = Math.max(amount, 0);
    ascending.forEach(({ demand, index }, rank) => {
        shares[index] = Math.min(demand, left / (ascending.length - rank));
        left -= shares[index];
    });
    return shares;
}
