import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { FinalState } from "../types/FinalState.js";
import type { IndexedHistory } from "../types/IndexedHistory.js";
import type { RecordedOperation } from "../types/RecordedOperation.js";

/**
 * Sorts and indexes a history for the checks.
 *
 * @param operations The recorded operations, in any order.
 * @param finalStates The final states; the first one of each database is the reference for reads.
 * @returns The indexed history.
 *
 * @example
 * const indexed = indexHistory(history.operations, finalStates);
 */
export function indexHistory(
    operations: readonly RecordedOperation[],
    finalStates: readonly FinalState[],
): IndexedHistory {
    const writesByValue = new Map<string, RecordedOperation>();
    const acknowledgedWrites = new Map<string, RecordedOperation[]>();
    const byCompletion = [...operations].sort((left, right) => left.completedAt - right.completedAt);
    for (const operation of byCompletion) {
        if (operation.value === undefined) {
            continue;
        }
        writesByValue.set(`${operation.database}/${operation.value}`, operation);
        if (operation.outcome !== OutcomeKind.Answer) {
            continue;
        }
        for (const list of operation.lists) {
            const key = `${operation.database}/${list}`;
            const writes = acknowledgedWrites.get(key) ?? [];
            writes.push(operation);
            acknowledgedWrites.set(key, writes);
        }
    }
    const referenceStates = new Map<string, FinalState>();
    for (const state of finalStates) {
        if (!referenceStates.has(state.database)) {
            referenceStates.set(state.database, state);
        }
    }
    return {
        operations: [...operations].sort((left, right) => left.invokedAt - right.invokedAt),
        writesByValue,
        acknowledgedWrites,
        referenceStates,
        allFinalStates: finalStates,
    };
}
