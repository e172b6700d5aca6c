import type { HistoryEvent } from "../types/HistoryEvent.js";
import { HistoryEventKind } from "../types/HistoryEventKind.js";

/**
 * Finds the acknowledged writes that an endpoint committed after the promotion of another endpoint had taken effect.
 *
 * @param history The events, in the order of execution.
 * @returns One description per write.
 *
 * @example
 * assert.deepEqual(findStaleWrites(fleet.history), []);
 */
export function findStaleWrites(history: readonly HistoryEvent[]): readonly string[] {
    const leaders = new Map<string, Extract<HistoryEvent, { readonly kind: HistoryEventKind.Promotion; }>>();
    const staleCommits = new Map<string, string>();
    const findings: string[] = [];
    for (const event of history) {
        if (event.kind === HistoryEventKind.Promotion) {
            leaders.set(event.group, event);
        }
        if (event.kind === HistoryEventKind.Commit) {
            const leader = leaders.get(event.group);
            if (leader !== undefined && leader.endpointId !== event.endpointId) {
                staleCommits.set(
                    event.writeId,
                    `${event.writeId} was committed by ${event.endpointId} at ${event.at} ms, after the promotion of`
                        + ` ${leader.endpointId} at ${leader.at} ms`,
                );
            }
        }
        if (event.kind === HistoryEventKind.Acknowledgement) {
            const staleCommit = staleCommits.get(event.writeId);
            if (staleCommit !== undefined) {
                findings.push(`${staleCommit}, and acknowledged at ${event.at} ms`);
            }
        }
    }
    return findings;
}
