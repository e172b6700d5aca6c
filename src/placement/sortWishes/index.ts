import type { OpeningWish } from "../types/OpeningWish.js";

/**
 * Sorts what needs connections: the most urgent first, then owners with the fewest connections; equal ones stay in their
 * order.
 *
 * @param wishes The owners that need connections.
 * @param counts Number of connections by owner.
 * @returns The wishes, sorted.
 *
 * @example
 * const [first] = sortWishes(wishes.list(), counts);
 */
export function sortWishes(
    wishes: readonly OpeningWish[],
    counts: ReadonlyMap<string, number>,
): readonly OpeningWish[] {
    const countOf = ({ owner }: OpeningWish): number => counts.get(owner) ?? 0;
    return [...wishes].sort((left, right) => left.priority - right.priority || countOf(left) - countOf(right));
}
