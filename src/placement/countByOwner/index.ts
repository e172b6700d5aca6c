/**
 * Counts the connections of each owner.
 *
 * @param connections The connections, in any order.
 * @returns The number of connections by owner.
 *
 * @example
 * const counts = countByOwner([...openConnections, ...openings]);
 */
export function countByOwner(connections: Iterable<{ readonly owner: string; }>): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { owner } of connections) {
        counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    return counts;
}
