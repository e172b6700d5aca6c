import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { IndexedHistory } from "../types/IndexedHistory.js";
import type { RecordedOperation } from "../types/RecordedOperation.js";
import type { Violation } from "../types/Violation.js";
import { ViolationKind } from "../types/ViolationKind.js";

/**
 * Checks that no superseded primary acknowledges a write.
 *
 * Once a write has been acknowledged in a term, no write that begins later may be acknowledged in a lower one.
 *
 * @param history The indexed history.
 * @returns Yields the violations found.
 *
 * @example
 * const violations = [...checkTerms(indexed)];
 */
export function* checkTerms(history: IndexedHistory): Generator<Violation> {
    const byCompletion = history.operations
        .filter(operation => operation.value !== undefined && operation.outcome === OutcomeKind.Answer)
        .sort((left, right) => left.completedAt - right.completedAt);
    const highestTerm = new Map<string, number>();
    let completedCount = 0;
    for (const operation of history.operations) {
        for (
            let other = byCompletion[completedCount];
            other !== undefined && other.completedAt < operation.invokedAt;
            other = byCompletion[completedCount]
        ) {
            raiseHighestTerm(highestTerm, other);
            completedCount += 1;
        }
        const highest = highestTerm.get(operation.database) ?? 0;
        const term = operation.servedBy?.term;
        if (
            operation.value !== undefined && operation.outcome === OutcomeKind.Answer && term !== undefined
            && term < highest
        ) {
            const text = `${operation.value} was acknowledged under term ${term} after term ${highest} had been.`;
            yield { kind: ViolationKind.SupersededAcknowledgement, text, operation };
        }
    }
}

function raiseHighestTerm(highestTerm: Map<string, number>, operation: RecordedOperation): void {
    const term = operation.servedBy?.term ?? 0;
    highestTerm.set(operation.database, Math.max(highestTerm.get(operation.database) ?? 0, term));
}
