import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import type { IndexedHistory } from "../types/IndexedHistory.js";
import type { RecordedOperation } from "../types/RecordedOperation.js";
import type { Violation } from "../types/Violation.js";
import { ViolationKind } from "../types/ViolationKind.js";

/** The data of one list that reads of one session must return. */
interface ListRequirements {
    readonly ownWrites: Set<string>;
    leastLength: number;
}

/**
 * Checks that each session reads its own writes, and never fewer values than it read before.
 *
 * This also applies to a bounded-staleness read that carried the session's token; a read without the token is recorded
 * as a session of its own.
 *
 * @param history The indexed history.
 * @returns Yields the violations found.
 *
 * @example
 * const violations = [...checkSessions(indexed)];
 */
export function* checkSessions(history: IndexedHistory): Generator<Violation> {
    const requirementsByList = new Map<string, ListRequirements>();
    for (const operation of history.operations) {
        if (operation.outcome !== OutcomeKind.Answer) {
            continue;
        }
        if (operation.value !== undefined) {
            for (const list of operation.lists) {
                requirementsOf(requirementsByList, operation, list).ownWrites.add(operation.value);
            }
        }
        for (const { list, values } of operation.contents ?? []) {
            const requirements = requirementsOf(requirementsByList, operation, list);
            yield* checkRequirements(operation, values, requirements);
            requirements.leastLength = Math.max(requirements.leastLength, values.length);
        }
    }
}

function requirementsOf(
    requirementsByList: Map<string, ListRequirements>,
    operation: RecordedOperation,
    list: string,
): ListRequirements {
    const key = `${operation.session}/${operation.database}/${list}`;
    const requirements = requirementsByList.get(key) ?? { ownWrites: new Set<string>(), leastLength: 0 };
    requirementsByList.set(key, requirements);
    return requirements;
}

function* checkRequirements(
    operation: RecordedOperation,
    values: readonly string[],
    requirements: ListRequirements,
): Generator<Violation> {
    const present = new Set(values);
    for (const value of requirements.ownWrites) {
        if (!present.has(value)) {
            const text = `Session ${operation.session} did not read its own ${value}.`;
            yield { kind: ViolationKind.StaleRead, text, operation };
        }
    }
    if (values.length < requirements.leastLength) {
        const text = `Session ${operation.session} had read ${requirements.leastLength} values, now ${values.length}.`;
        yield { kind: ViolationKind.NonMonotonicRead, text, operation };
    }
}
