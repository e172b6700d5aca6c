/**
 * Counts the connections of each owner.
 *
 * @param owners The owner of each connection, in any order.
 * @returns The number of connections by owner.
 *
 * @example
 * const counts = countByOwner([...openOwners, ...openingOwners]);
 */
export function countByOwner(owners: Iterable<string>): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const owner of owners) {
        counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    return counts;
}
