/**
 * Sorts what needs connections by the number that its owner has, fewest first; equal ones stay in their order.
 *
 * @param items What needs connections.
 * @param counts Number of connections by owner.
 * @param ownerOf Returns the owner; undefined for a statement of this program, which comes first.
 * @returns The items, sorted.
 *
 * @example
 * const owners = sortByConnectionCount(waitingOwners, counts, owner => owner);
 */
export function sortByConnectionCount<Item>(
    items: readonly Item[],
    counts: ReadonlyMap<string, number>,
    ownerOf: (item: Item) => string | undefined,
): Item[] {
    function countOf(item: Item): number {
        const owner = ownerOf(item);
        return owner === undefined ? 0 : counts.get(owner) ?? 0;
    }

    return [...items].sort((left, right) => countOf(left) - countOf(right));
}
