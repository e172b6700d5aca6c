import type { HistoryEvent } from "../types/HistoryEvent.js";
import { HistoryEventKind } from "../types/HistoryEventKind.js";

/**
 * Finds the groups of which no write was acknowledged since a moment.
 *
 * @param history The events, in the order of execution.
 * @param groups The groups.
 * @param since The moment, on the clock of the simulation in milliseconds.
 * @returns The names of the groups.
 *
 * @example
 * assert.deepEqual(findIdleGroups(fleet.history, ["orders"], 20_000), []);
 */
export function findIdleGroups(
    history: readonly HistoryEvent[],
    groups: readonly string[],
    since: number,
): readonly string[] {
    const served = new Set(
        history
            .filter(event => event.kind === HistoryEventKind.Acknowledgement && event.at >= since)
            .map(event => (event as { readonly group: string; }).group),
    );
    return groups.filter(group => !served.has(group));
}
