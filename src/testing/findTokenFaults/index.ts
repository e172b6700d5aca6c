import type { HistoryEvent } from "../types/HistoryEvent.js";
import { HistoryEventKind } from "../types/HistoryEventKind.js";

/**
 * Finds the orders to promote whose fencing token another VM had used, or that came after an order with a higher one.
 *
 * @param history The events, in the order of execution.
 * @returns One description per order.
 *
 * @example
 * assert.deepEqual(findTokenFaults(fleet.history), []);
 */
export function findTokenFaults(history: readonly HistoryEvent[]): readonly string[] {
    const holders = new Map<number, string>();
    const findings: string[] = [];
    let highestToken = 0;
    for (const event of history) {
        if (event.kind !== HistoryEventKind.Order) {
            continue;
        }
        const { fencingToken, holderName, at } = event;
        const otherHolder = holders.get(fencingToken);
        if (otherHolder !== undefined && otherHolder !== holderName) {
            findings.push(`${holderName} used token ${fencingToken} of ${otherHolder} at ${at} ms`);
        }
        if (fencingToken < highestToken) {
            findings.push(`${holderName} used token ${fencingToken} after token ${highestToken} at ${at} ms`);
        }
        holders.set(fencingToken, holderName);
        highestToken = Math.max(highestToken, fencingToken);
    }
    return findings;
}
