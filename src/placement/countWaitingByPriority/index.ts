import type { WaitingStatements } from "../types/WaitingStatements.js";

/**
 * Counts the waiting statements of all groups by priority.
 *
 * @param queues The waiting statements of each group.
 * @returns The number of statements by priority.
 *
 * @example
 * const counts = countWaitingByPriority([...waitingByGroup.values()]);
 */
export function countWaitingByPriority(
    queues: readonly Pick<WaitingStatements, "countByPriority">[],
): ReadonlyMap<number, number> {
    const counts = new Map<number, number>();
    for (const [priority, count] of queues.flatMap(queue => [...queue.countByPriority()])) {
        counts.set(priority, (counts.get(priority) ?? 0) + count);
    }
    return counts;
}
